//! Dispatches of one stage: checks, choice of an upstream, retries elsewhere.

use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::names::{HostName, VersionName};
use ferry_decisions::quarantine::Placement;
use ferry_decisions::retry::RunState;
use ferry_platform::engine::ChatRequest;
use tokio::time::{Instant, sleep};
use xxhash_rust::xxh3::xxh3_64;

use super::attempt_log::AttemptLog;
use super::engine_call::{self, EngineReply};
use super::{DispatchFailure, gate};
use crate::caller::{CallerRefusal, CallerRequest, RefusalKind, SessionAsk};
use crate::core::RouterCore;
use crate::guard::{self, GuardedPick, ServedRequest};
use crate::quarantine::CrashTracker;
use crate::trail::{AttemptNote, AttemptResult, DecisionTrail};
use crate::upstream::{FlightGuard, PlaceRule, PlacementQuery, UpstreamHost, place};

/// Bytes of a prompt's start that requests with a common prefix share.
const PREFIX_BYTES: usize = 1_024;

/// Time between two looks at an upstream that is to become idle.
const DRAIN_PAUSE: Duration = Duration::from_millis(20);
/// When to come back after waiting in vain for an upstream of one's own.
const SUSPECT_PAUSE: Duration = Duration::from_secs(2);

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
    /// Its dealings with the crash pool.
    pub turn: &'a mut CrashTracker,
}

/// Answer of a stage.
pub struct StageAnswer {
    /// Version that answered.
    pub version: VersionName,
    /// Its answer.
    pub reply: EngineReply,
    /// The request as counted by the guard; `None` outside of roll-outs.
    pub served: Option<ServedRequest>,
}

/// Where the next dispatch goes.
struct StageTarget {
    pick: GuardedPick,
    guard: FlightGuard,
}

impl StageRun<'_> {
    /// Dispatches until an upstream answers or no further try is allowed.
    ///
    /// # Errors
    ///
    /// A refusal whose run state covers all dispatches of the stage.
    pub async fn execute(mut self) -> Result<StageAnswer, CallerRefusal> {
        let mut log = AttemptLog::default();
        loop {
            let target = self.next_target(log.tried()).await;
            let target = target.map_err(|refusal| log.refuse(refusal))?;
            let StageTarget { pick, guard } = target;
            let (version, served) = (pick.version, pick.served);
            let host = Arc::clone(guard.host());
            match self.dispatch(guard, &version, served.is_some()).await {
                Ok(reply) => {
                    if matches!(reply, EngineReply::Whole(_)) {
                        self.turn.record_survival();
                    }
                    self.note(&version, &host.entry.name, AttemptResult::Answered);
                    return Ok(StageAnswer {
                        version,
                        reply,
                        served,
                    });
                }
                Err(failure) => {
                    let reason = failure.to_string();
                    self.note(&version, &host.entry.name, AttemptResult::Failed { reason });
                    let crashed = self.turn.confirm_crash(&host, &failure).await;
                    log.fail(self.core, self.request, &host, failure, crashed)?;
                }
            }
        }
    }

    /// Version and upstream of the next dispatch under the newest configuration.
    async fn next_target(&mut self, tried: &[HostName]) -> Result<StageTarget, CallerRefusal> {
        loop {
            let pick = self.next_pick()?;
            let open = self.open_upstreams(&pick.version, tried);
            match self.turn.place(&open) {
                Placement::Shared { avoid } => {
                    return self.place(pick, tried, PlaceRule::Avoid(&avoid));
                }
                Placement::Isolated { upstream, drain_ms } => {
                    self.drain(&pick.version, &upstream, drain_ms).await;
                    let again = self.next_pick()?;
                    if again.version == pick.version {
                        return self.place(again, tried, PlaceRule::Only(&upstream));
                    }
                }
                Placement::Wait { .. } if self.none_left(&pick.version, tried) => {
                    return self.place(pick, tried, PlaceRule::Avoid(&[]));
                }
                Placement::Wait { retry_after_ms } => self.pause(retry_after_ms).await?,
                Placement::Quarantined => return Err(quarantined()),
            }
        }
    }

    /// Version of the next dispatch under the newest configuration.
    fn next_pick(&mut self) -> Result<GuardedPick, CallerRefusal> {
        gate::check_dispatch(self.core, self.request)?;
        let view = self.core.config.view();
        let plan = gate::plan(&view, self.request, &self.chat.model)?;
        self.trail.config_offset = view.next_offset;
        let stage = &plan.stages[self.stage.min(plan.stages.len() - 1)];
        let mut excluded = plan.excluded.clone();
        let pick = guard::pick(self.core, &view, self.request, stage, &mut excluded);
        self.trail.exclude(&excluded);
        pick
    }

    fn place(
        &self,
        pick: GuardedPick,
        tried: &[HostName],
        rule: PlaceRule<'_>,
    ) -> Result<StageTarget, CallerRefusal> {
        let query = PlacementQuery {
            request: self.request,
            version: &pick.version,
            most_steps: self.chat.max_tokens,
            affinity: self.affinity(),
            tried,
            rule,
        };
        let guard = place(self.core, &query)?;
        Ok(StageTarget { pick, guard })
    }

    /// Upstreams of `version` that did not have the request and take connections.
    fn open_upstreams(&self, version: &VersionName, tried: &[HostName]) -> Vec<HostName> {
        let now = self.core.clock.elapsed();
        let hosts = self.core.upstreams.serving(version);
        let is_open =
            |host: &UpstreamHost| !tried.contains(&host.entry.name) && !host.is_suspect(now);
        let open = hosts.iter().filter(|host| is_open(host));
        open.map(|host| host.entry.name.clone()).collect()
    }

    /// Whether every upstream of `version` had the request.
    fn none_left(&self, version: &VersionName, tried: &[HostName]) -> bool {
        let hosts = self.core.upstreams.serving(version);
        hosts.iter().all(|host| tried.contains(&host.entry.name))
    }

    /// Waits until `upstream` has no other request, at most for `drain_ms`.
    async fn drain(&self, version: &VersionName, upstream: &HostName, drain_ms: u64) {
        let hosts = self.core.upstreams.serving(version);
        let Some(host) = hosts.iter().find(|host| host.entry.name == *upstream) else {
            return;
        };
        let limit = Duration::from_millis(drain_ms).min(self.request.time_left());
        let limit = Instant::now() + limit;
        while Instant::now() < limit && !is_idle(self.core, host) {
            sleep(DRAIN_PAUSE).await;
        }
    }

    /// Waits before the pool is asked again.
    async fn pause(&self, retry_after_ms: u64) -> Result<(), CallerRefusal> {
        let pause = Duration::from_millis(retry_after_ms);
        if self.request.time_left() <= pause {
            return Err(CallerRefusal::come_back(
                RefusalKind::NoUpstream,
                "no upstream was free to run the request alone after a crash; send it again later",
                SUSPECT_PAUSE,
            ));
        }
        sleep(pause).await;
        Ok(())
    }

    /// Hash of the session, or else of the start of a prompt that is long enough to be worth it.
    fn affinity(&self) -> Option<u64> {
        if let SessionAsk::Continue(token) = &self.request.session {
            return Some(xxh3_64(token.id.as_bytes()));
        }
        let first = self.chat.messages.first()?.content.as_str()?;
        let prefix = first.as_bytes().get(..PREFIX_BYTES)?;
        Some(xxh3_64(prefix))
    }

    async fn dispatch(
        &self,
        guard: FlightGuard,
        version: &VersionName,
        is_rated: bool,
    ) -> Result<EngineReply, DispatchFailure> {
        engine_call::call(
            self.core,
            guard,
            self.request,
            self.chat,
            version,
            self.keep_text || is_rated,
        )
        .await
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

/// Whether `host` runs nothing, as far as this router knows.
fn is_idle(core: &RouterCore, host: &UpstreamHost) -> bool {
    let load = host.load(core.clock.elapsed(), None);
    let reported = load
        .report
        .map_or(0, |report| report.running + report.queued);
    load.own_in_flight == 0 && reported == 0
}

/// The final answer to a request that crashes what runs it.
fn quarantined() -> CallerRefusal {
    CallerRefusal::final_one(
        RefusalKind::Quarantined,
        "the request crashed the upstreams that ran it; change it before you send it again",
    )
    .with_run(RunState::MayHaveRun)
}
