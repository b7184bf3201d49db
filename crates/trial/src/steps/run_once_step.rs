//! A service call that is not idempotent is sent to two routers at once and runs once.

use bytes::Bytes;
use ferry_decisions::names::RequestId;
use ferry_rig::read_refusal;
use hyper::Method;

use super::StepReport;
use crate::deployment::SERVICE;
use crate::trial_run::TrialRun;

/// What one send of the call came to.
enum SendResult {
    /// The service's answer.
    Answered,
    /// A refusal that says that the call ran or may have.
    Repeated(String),
    /// Anything else.
    Other(String),
}

/// Sends one call twice and looks at the service's own count.
pub async fn play(run: &TrialRun) -> StepReport {
    let id = RequestId::generate();
    let (first, second) = futures::join!(send(run, 0, &id), send(run, 1, &id));
    let mut report = StepReport::default();
    let answered = [&first, &second].into_iter().any(SendResult::is_answer);
    for (index, result) in [first, second].into_iter().enumerate() {
        let (held, seen) = result.show();
        report.check(held && answered, format!("{}: {seen}", run.router(index)));
    }
    let count = run.deployment.service.counters().of(&id);
    let seen = format!(
        "the service itself counts {} run of the call",
        count.started
    );
    report.check(count.started == 1, seen);
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
            run.tally.lock().note(id, 0);
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

    fn show(self) -> (bool, String) {
        match self {
            Self::Answered => (true, "answered by the service".to_owned()),
            Self::Repeated(run) => (true, format!("refused as a repeat, run \"{run}\"")),
            Self::Other(reason) => (false, reason),
        }
    }
}
