//! Records the failed attempts of one request and decides whether it is retried on another upstream.

use std::time::Duration;

use ferry_decisions::names::HostName;
use ferry_decisions::retry::{RetryPolicy, RetryQuery, RetryVerdict, RunState};
use smallvec::SmallVec;

use super::DispatchFailure;
use crate::caller::{CallerRefusal, CallerRequest, RefusalKind};
use crate::core::RouterCore;
use crate::upstream::UpstreamHost;

/// Number of attempts stored without heap allocation.
const INLINE_ATTEMPTS: usize = 4;

/// Failed attempts of one request.
#[derive(Debug, Default)]
pub struct AttemptLog {
    tried: SmallVec<[HostName; INLINE_ATTEMPTS]>,
    /// Run state over all attempts.
    run_state: RunState,
    last_failure: Option<DispatchFailure>,
    /// Number of attempts that ended in a crash of the upstream.
    crashes: u32,
}

impl AttemptLog {
    /// Upstreams that the request was sent to.
    pub fn tried(&self) -> &[HostName] {
        &self.tried
    }

    /// Records a failed attempt on `host`; `Ok` means that the request is to be retried on another
    /// upstream.
    ///
    /// A crash counts neither towards the attempts of the retry policy nor towards the retry budget
    /// of the workspace, since the quarantine bounds the runs after a crash.
    ///
    /// # Errors
    ///
    /// Returns the final refusal when the request is not retried.
    pub fn record_failure(
        &mut self,
        core: &RouterCore,
        request: &CallerRequest,
        host: &UpstreamHost,
        failure: DispatchFailure,
        crashed: bool,
    ) -> Result<(), CallerRefusal> {
        if failure.kind.makes_suspect() {
            host.mark_suspect(core.clock.elapsed());
        }
        self.tried.push(host.entry.name.clone());
        self.crashes += u32::from(crashed);
        let query = RetryQuery {
            failure: failure.kind,
            earlier: self.run_state,
            idempotent: request.idempotent,
            answer_begun: false,
            attempts: self.tried.len() as u32 - self.crashes,
            time_left: Some(request.time_left()),
            time_needed: Duration::ZERO,
        };
        self.run_state = self.run_state.max(failure.run_state());
        let verdict = if crashed {
            RetryPolicy::default().decide_after_crash(&query)
        } else {
            core.admission.decide_retry(&request.workspace, &query)
        };
        match verdict {
            RetryVerdict::RetryElsewhere => {
                metrics::counter!("ferry_retries_total", "workspace" => request.workspace.to_string())
                    .increment(1);
                self.last_failure = Some(failure);
                Ok(())
            }
            RetryVerdict::GiveUp { run, .. } => Err(failure.to_refusal().with_run(run)),
        }
    }

    /// Refusal to send when `refusal` prevents a further attempt.
    ///
    /// When there is no upstream left, it reports the last failure instead. Its run state covers all
    /// attempts.
    pub fn final_refusal(&self, refusal: CallerRefusal) -> CallerRefusal {
        match &self.last_failure {
            Some(failure) if refusal.kind == RefusalKind::NoUpstream => {
                failure.to_refusal().with_run(self.run_state)
            }
            _ => {
                let run = self.run_state.max(refusal.run);
                refusal.with_run(run)
            }
        }
    }
}
