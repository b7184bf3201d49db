//! A service call that is not idempotent is sent to two routers at once and runs once.

use bytes::Bytes;
use ferry_decisions::names::RequestId;
use ferry_rig::read_refusal;
use hyper::Method;

use super::StepReport;
use crate::deployment::SERVICE;
use crate::trial_run::TrialRun;

/// Result of one send of the call.
enum SendResult {
    /// The service's answer.
    Answered,
    /// A refusal as a repeat, with its statement that the call ran or may have run.
    Repeated(String),
    /// Any other response or an error.
    Other(String),
}

/// Sends one call twice and checks the service's own counter of runs.
pub async fn execute(run: &TrialRun) -> StepReport {
    let id = RequestId::generate();
    let (first, second) = futures::join!(send(run, 0, &id), send(run, 1, &id));
    let mut report = StepReport::default();
    let answered = [&first, &second].into_iter().any(SendResult::is_answer);
    for (index, result) in [first, second].into_iter().enumerate() {
        let (passed, finding) = result.into_finding();
        report.check(
            passed && answered,
            format!("{}: {finding}", run.router(index)),
        );
    }
    let count = run.deployment.service.counters().of(&id);
    let finding = format!(
        "the service itself counts {} run of the call",
        count.started
    );
    report.check(count.started == 1, finding);
    report
}

async fn send(run: &TrialRun, index: usize, id: &RequestId) -> SendResult {
    let address = run.deployment.routers[index].callers.to_string();
    let path = format!("/services/{SERVICE}/send");
    let headers = [("idempotency-key", id.to_string())];
    let body = Bytes::from_static(b"Your appointment is confirmed.");
    let answer = run
        .caller
        .call(&address, Method::POST, &path, &headers, body)
        .await;
    match answer {
        Ok((200, _, _)) => {
            run.tally.lock().record(id, 0);
            SendResult::Answered
        }
        Ok((409, headers, body)) => match read_refusal(&headers, &body) {
            Ok(refusal) if refusal.run != "not_run" => SendResult::Repeated(refusal.run),
            other => SendResult::Other(format!("{other:?}")),
        },
        Ok((status, _, body)) => SendResult::Other(format!("{status} {body:?}")),
        Err(reason) => SendResult::Other(reason),
    }
}

impl SendResult {
    fn is_answer(&self) -> bool {
        matches!(self, Self::Answered)
    }

    fn into_finding(self) -> (bool, String) {
        match self {
            Self::Answered => (true, "answered by the service".to_owned()),
            Self::Repeated(run) => (true, format!("refused as a repeat, run \"{run}\"")),
            Self::Other(reason) => (false, reason),
        }
    }
}
