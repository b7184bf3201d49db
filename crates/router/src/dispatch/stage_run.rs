//! Dispatches of one stage: checks, choice of an upstream, retries elsewhere.

use std::time::Duration;

use ferry_decisions::names::{HostName, VersionName};
use ferry_platform::engine::ChatRequest;
use smallvec::SmallVec;

use super::engine_call::{self, EngineReply};
use super::{UpstreamFailure, gate};
use crate::caller::{CallerRefusal, CallerRequest, RefusalKind, RunState};
use crate::core::RouterCore;
use crate::trail::{AttemptNote, AttemptResult, DecisionTrail};
use crate::upstream::{FlightGuard, choose};

/// Dispatches of one stage, the first included.
const ATTEMPT_LIMIT: usize = 4;
/// When to come back if no upstream serves the version.
const UPSTREAM_PAUSE: Duration = Duration::from_secs(1);

/// What a stage needs of its run.
pub struct StageRun<'a> {
    /// State of the router.
    pub core: &'a RouterCore,
    /// The request.
    pub request: &'a CallerRequest,
    /// Its body.
    pub chat: &'a ChatRequest,
    /// Position of the stage in the route.
    pub stage: usize,
    /// Whether the text of the answer is needed.
    pub keep_text: bool,
    /// Decisions so far.
    pub trail: &'a mut DecisionTrail,
}

/// Answer of a stage.
pub struct StageAnswer {
    /// Version that answered.
    pub version: VersionName,
    /// Its answer.
    pub reply: EngineReply,
}

impl StageRun<'_> {
    /// Dispatches until an upstream answers or no further try is allowed.
    ///
    /// # Errors
    ///
    /// A refusal whose run state covers all dispatches of the stage.
    pub async fn execute(mut self) -> Result<StageAnswer, CallerRefusal> {
        let mut tried: SmallVec<[HostName; ATTEMPT_LIMIT]> = SmallVec::new();
        let mut last: Option<UpstreamFailure> = None;
        let mut run = RunState::NotRun;
        loop {
            let (version, guard) = match self.next_target(&tried) {
                Ok(target) => target,
                Err(refusal) => return Err(worst(refusal, run, last.as_ref())),
            };
            let host = guard.host().entry.name.clone();
            match self.dispatch(guard, &version).await {
                Ok(reply) => {
                    self.note(&version, &host, AttemptResult::Answered);
                    return Ok(StageAnswer { version, reply });
                }
                Err(failure) => {
                    let reason = failure.to_string();
                    self.note(&version, &host, AttemptResult::Failed { reason });
                    run = later_state(run, failure.run_state());
                    tried.push(host);
                    if !self.may_retry(&failure, tried.len()) {
                        return Err(failure.to_refusal().with_run(run));
                    }
                    last = Some(failure);
                }
            }
        }
    }

    /// Version and upstream of the next dispatch under the newest configuration.
    fn next_target(
        &mut self,
        tried: &[HostName],
    ) -> Result<(VersionName, FlightGuard), CallerRefusal> {
        gate::check_dispatch(self.core, self.request)?;
        let view = self.core.config.view();
        let plan = gate::plan(&view, self.request, &self.chat.model)?;
        self.trail.exclude(&plan.excluded);
        self.trail.config_offset = view.next_offset;
        let stage = &plan.stages[self.stage.min(plan.stages.len() - 1)];
        let version = gate::pick_version(stage, self.request).clone();
        let hosts = self.core.upstreams.serving(&version);
        let host = choose(&hosts, tried).ok_or_else(|| no_upstream(&version))?;
        Ok((version, FlightGuard::new(host)))
    }

    async fn dispatch(
        &self,
        guard: FlightGuard,
        version: &VersionName,
    ) -> Result<EngineReply, UpstreamFailure> {
        engine_call::call(
            self.core,
            guard,
            self.request,
            self.chat,
            version,
            self.keep_text,
        )
        .await
    }

    fn may_retry(&self, failure: &UpstreamFailure, attempts: usize) -> bool {
        let safe = self.request.idempotent || failure.run_state() == RunState::NotRun;
        safe && failure.may_retry() && attempts < ATTEMPT_LIMIT
    }

    fn note(&mut self, version: &VersionName, upstream: &HostName, result: AttemptResult) {
        self.trail.attempts.push(AttemptNote {
            stage: self.stage,
            version: version.clone(),
            upstream: upstream.clone(),
            result,
        });
    }
}

/// The state that covers an earlier and a later dispatch.
pub fn later_state(earlier: RunState, later: RunState) -> RunState {
    match (earlier, later) {
        (RunState::Ran, _) | (_, RunState::Ran) => RunState::Ran,
        (RunState::MayHaveRun, _) | (_, RunState::MayHaveRun) => RunState::MayHaveRun,
        (RunState::NotRun, RunState::NotRun) => RunState::NotRun,
    }
}

/// Prefers the failure of an earlier dispatch over "no other upstream".
fn worst(refusal: CallerRefusal, run: RunState, last: Option<&UpstreamFailure>) -> CallerRefusal {
    match last {
        Some(failure) if refusal.kind == RefusalKind::NoUpstream => {
            failure.to_refusal().with_run(run)
        }
        _ => refusal.with_run(run),
    }
}

fn no_upstream(version: &VersionName) -> CallerRefusal {
    CallerRefusal::come_back(
        RefusalKind::NoUpstream,
        format!("no upstream serves version {version} now; send the request again later"),
        UPSTREAM_PAUSE,
    )
}
