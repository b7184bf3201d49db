//! Attempts of one request: where it was sent, what that says about its run, and whether it is
//! sent elsewhere.

use std::time::Duration;

use ferry_decisions::names::HostName;
use ferry_decisions::retry::{RetryPolicy, RetryQuery, RetryVerdict, RunState};
use smallvec::SmallVec;

use super::DispatchFailure;
use crate::caller::{CallerRefusal, CallerRequest, RefusalKind};
use crate::core::RouterCore;
use crate::upstream::UpstreamHost;

/// Attempts that fit on the stack.
const USUAL_ATTEMPTS: usize = 4;

/// Attempts so far.
#[derive(Debug, Default)]
pub struct AttemptLog {
    tried: SmallVec<[HostName; USUAL_ATTEMPTS]>,
    /// What all attempts together say about the run.
    run: RunState,
    last: Option<DispatchFailure>,
    /// Attempts that ended in a crash of the upstream.
    crashes: u32,
}

impl AttemptLog {
    /// Upstreams that had the request.
    pub fn tried(&self) -> &[HostName] {
        &self.tried
    }

    /// Notes a failed attempt on `host`; on `Ok` the request is to be sent elsewhere.
    ///
    /// A crash counts neither as one of the attempts nor towards the budget of the workspace: the
    /// quarantine bounds the runs that follow it.
    ///
    /// # Errors
    ///
    /// The final refusal, when it is not.
    pub fn fail(
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
            earlier: self.run,
            idempotent: request.idempotent,
            answer_begun: false,
            attempts: self.tried.len() as u32 - self.crashes,
            time_left: Some(request.time_left()),
            time_needed: Duration::ZERO,
        };
        self.run = self.run.max(failure.run_state());
        let verdict = if crashed {
            RetryPolicy::default().decide_after_crash(&query)
        } else {
            core.intake.decide_retry(&request.workspace, &query)
        };
        match verdict {
            RetryVerdict::RetryElsewhere => {
                metrics::counter!("ferry_retries_total", "workspace" => request.workspace.to_string())
                    .increment(1);
                self.last = Some(failure);
                Ok(())
            }
            RetryVerdict::GiveUp { run, .. } => Err(failure.to_refusal().with_run(run)),
        }
    }

    /// The final refusal when no further attempt can be made because of `refusal`.
    pub fn refuse(&self, refusal: CallerRefusal) -> CallerRefusal {
        match &self.last {
            Some(failure) if refusal.kind == RefusalKind::NoUpstream => {
                failure.to_refusal().with_run(self.run)
            }
            _ => {
                let run = self.run.max(refusal.run);
                refusal.with_run(run)
            }
        }
    }
}
