//! The promises, checked against what callers and upstreams saw.

use std::collections::HashMap;
use std::time::Duration;

use ferry_decisions::ruleset::RunKind;
use ferry_standin::replica::{ReplicaRun, RunStatus};
use hyper::StatusCode;
use tokio::time::Instant;

use crate::caller_load::{CallEnd, CallRecord};
use crate::fault_plan::FaultPlan;
use crate::soak_fleet::EVENTS;

/// Time after which a key that was taken away opens nothing, of the sample settings.
const REVOCATION: Duration = Duration::from_secs(5);

/// Everything that was seen in one run.
pub struct SoakRecord<'a> {
    /// The plan.
    pub plan: &'a FaultPlan,
    /// What callers saw.
    pub calls: &'a [CallRecord],
    /// What upstreams saw.
    pub runs: &'a [ReplicaRun],
    /// When the second key was taken away.
    pub revoked: Instant,
}

impl SoakRecord<'_> {
    /// Each broken promise, in words.
    pub fn broken(&self) -> Vec<String> {
        let mut runs: HashMap<&str, Vec<&ReplicaRun>> = HashMap::new();
        for run in self
            .runs
            .iter()
            .filter(|run| run.status != RunStatus::Refused)
        {
            runs.entry(&run.request.attempt_id).or_default().push(run);
        }
        let mut broken = Vec::new();
        for call in self.calls {
            let runs = runs.remove(call.id.as_str()).unwrap_or_default();
            let problems = [
                self.check_repeats(call, &runs),
                check_refusal(call, &runs),
                check_answer(call),
                self.check_key(call, &runs),
                self.check_planned_work(call, &runs),
            ];
            let problems = problems.into_iter().flatten();
            broken.extend(problems.map(|problem| format!("{}: {problem}; {call:?}", call.id)));
        }
        let strange = runs
            .keys()
            .map(|id| format!("{id}: ran, but nobody sent it"));
        broken.extend(strange);
        broken
    }

    /// What may run once runs once, and what may be repeated keeps to its attempts.
    fn check_repeats(&self, call: &CallRecord, runs: &[&ReplicaRun]) -> Option<String> {
        let once = matches!(call.run, RunKind::Once | RunKind::Stream);
        (once && runs.len() > 1).then(|| format!("ran {} times", runs.len()))
    }

    fn check_key(&self, call: &CallRecord, runs: &[&ReplicaRun]) -> Option<String> {
        let limit = self.revoked + REVOCATION;
        let late = call.lost_key && call.sent > limit && !runs.is_empty();
        late.then(|| {
            let after = call.sent - self.revoked;
            format!("ran with a key that had been taken away {after:?} before")
        })
    }

    /// Planned work cuts nothing that reached an upstream, and fails nothing.
    fn check_planned_work(&self, call: &CallRecord, runs: &[&ReplicaRun]) -> Option<String> {
        if !self.plan.planned_only {
            return None;
        }
        let fault = match &call.end {
            CallEnd::BrokenOff(_) | CallEnd::TooLate => true,
            CallEnd::NoAnswer(_) => !runs.is_empty(),
            CallEnd::Answered(status, _) => {
                matches!(status.as_u16(), 500 | 502 | 504)
                    || (*status == StatusCode::UNAUTHORIZED && !call.lost_key)
            }
            CallEnd::NoConnection => false,
        };
        fault.then(|| "planned work cut or failed it".to_owned())
    }
}

/// 503, 429, 408 and 421 are promises: not run, and never will be.
fn check_refusal(call: &CallRecord, runs: &[&ReplicaRun]) -> Option<String> {
    let CallEnd::Answered(status, _) = &call.end else {
        return None;
    };
    let promised = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    let once = matches!(call.run, RunKind::Once | RunKind::Stream);
    (promised && once && !runs.is_empty()).then(|| format!("refused with {status}, but ran"))
}

/// A success is the request's own answer, whole and in order.
fn check_answer(call: &CallRecord) -> Option<String> {
    let CallEnd::Answered(status, body) = &call.end else {
        return None;
    };
    if !status.is_success() {
        return None;
    }
    let text = String::from_utf8_lossy(body);
    let right = if call.run.is_stream() {
        text == whole_stream()
    } else {
        text.ends_with(&format!(" answers {}", call.id))
    };
    (!right).then(|| format!("got another answer than its own: {text}"))
}

fn whole_stream() -> String {
    (1..=EVENTS)
        .map(|number| format!("id: {number}\ndata: part {number}\n\n"))
        .collect()
}
