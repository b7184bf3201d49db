//! Checks of the relay's guarantees against the records of callers and upstreams.

use std::collections::HashMap;
use std::time::Duration;

use ferry_decisions::ruleset::RunKind;
use ferry_kernel::http::BodyFraming;
use ferry_standin::replica::{ReplicaRun, RunStatus};
use hyper::StatusCode;
use tokio::time::Instant;

use crate::caller_load::{CallOutcome, CallRecord};
use crate::fault_plan::{FaultPlan, REPLICAS};
use crate::soak_fleet::EVENTS;

/// Time after which relays refuse a revoked key, as in the sample settings.
const REVOCATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Records of one run.
pub struct SoakRecord<'a> {
    /// Plan that was run.
    pub plan: &'a FaultPlan,
    /// Requests, as callers recorded them.
    pub calls: &'a [CallRecord],
    /// Runs, as upstreams recorded them.
    pub runs: &'a [ReplicaRun],
    /// When the second key was revoked.
    pub revoked_at: Instant,
}

impl SoakRecord<'_> {
    /// Returns a description of each violated guarantee.
    pub fn violations(&self) -> Vec<String> {
        let mut runs: HashMap<&str, Vec<&ReplicaRun>> = HashMap::new();
        for run in self
            .runs
            .iter()
            .filter(|run| run.status != RunStatus::Refused)
        {
            runs.entry(&run.request.attempt_id).or_default().push(run);
        }
        let mut violations = Vec::new();
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
            violations.extend(problems.map(|problem| format!("{}: {problem}; {call:?}", call.id)));
        }
        let unsent = runs
            .keys()
            .map(|id| format!("{id}: ran, but no caller sent it"));
        violations.extend(unsent);
        violations
    }

    /// A request that may run only once runs at most once.
    fn check_repeats(&self, call: &CallRecord, runs: &[&ReplicaRun]) -> Option<String> {
        let once = matches!(call.run, RunKind::Once | RunKind::Stream);
        (once && runs.len() > 1).then(|| format!("ran {} times", runs.len()))
    }

    fn check_key(&self, call: &CallRecord, runs: &[&ReplicaRun]) -> Option<String> {
        let limit = self.revoked_at + REVOCATION_TIMEOUT;
        let late = call.uses_revoked_key && call.sent > limit && !runs.is_empty();
        late.then(|| {
            let after = call.sent - self.revoked_at;
            format!("ran with a key that had been revoked {after:?} before")
        })
    }

    /// Planned work breaks off no request that reached an upstream, and fails no request.
    fn check_planned_work(&self, call: &CallRecord, runs: &[&ReplicaRun]) -> Option<String> {
        if !self.plan.planned_only {
            return None;
        }
        let fault = match &call.outcome {
            CallOutcome::BrokenOff(_) | CallOutcome::TimedOut => true,
            CallOutcome::NoAnswer(_) => !runs.is_empty(),
            CallOutcome::Answered(status, _) => {
                matches!(status.as_u16(), 500 | 502 | 504)
                    || (*status == StatusCode::UNAUTHORIZED && !call.uses_revoked_key)
            }
            CallOutcome::NoConnection => false,
        };
        fault.then(|| "planned work broke it off or failed it".to_owned())
    }
}

/// A refusal with 503, 429, 408 or 421 guarantees that the request did not run and never will.
fn check_refusal(call: &CallRecord, runs: &[&ReplicaRun]) -> Option<String> {
    let CallOutcome::Answered(status, _) = &call.outcome else {
        return None;
    };
    let promised = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    let once = matches!(call.run, RunKind::Once | RunKind::Stream);
    (promised && once && !runs.is_empty()).then(|| format!("refused with {status}, but ran"))
}

/// A successful answer is the request's own, complete and in order. One that ends with its connection may have been cut off,
/// but a stream not inside an event.
fn check_answer(call: &CallRecord) -> Option<String> {
    let CallOutcome::Answered(status, body) = &call.outcome else {
        return None;
    };
    if !status.is_success() {
        return None;
    }
    let text = String::from_utf8_lossy(body);
    let may_be_cut = call.framing == Some(BodyFraming::UntilClose);
    let right = if call.run.is_stream() {
        let whole = whole_stream();
        let is_part = whole.starts_with(&*text) && (text.is_empty() || text.ends_with("\n\n"));
        text == whole || may_be_cut && is_part
    } else {
        let wholes = (0..REPLICAS).map(|number| format!("up-{number} answers {}", call.id));
        let mut wholes = wholes.filter(|whole| whole.starts_with(&*text));
        wholes.any(|whole| text == whole || may_be_cut)
    };
    (!right).then(|| format!("received another answer than its own: {text}"))
}

fn whole_stream() -> String {
    (1..=EVENTS)
        .map(|number| format!("id: {number}\ndata: part {number}\n\n"))
        .collect()
}
