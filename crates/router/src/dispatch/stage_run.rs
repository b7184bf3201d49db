//! Runs one stage of a route: checks the request, chooses version and upstream, and retries on other
//! upstreams.

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
use super::{DispatchFailure, dispatch_checks};
use crate::caller::{CallerRefusal, CallerRequest, RefusalKind, SessionRequest};
use crate::core::RouterCore;
use crate::guard::{self, GuardedPick, ServedRequest};
use crate::quarantine::CrashTracker;
use crate::trace::{AttemptRecord, AttemptResult, DecisionTrace};
use crate::upstream::{InFlightGuard, PlacementQuery, PlacementRule, UpstreamHost, place};

/// Length of the prompt prefix that affinity hashes, in bytes; requests with the same prefix have the
/// same affinity.
const AFFINITY_PREFIX_BYTES: usize = 1_024;

/// Interval between checks whether an upstream is idle.
const IDLE_POLL_PERIOD: Duration = Duration::from_millis(20);
/// `Retry-After` when no upstream became free to run a suspect request alone.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Inputs and state of the run that a stage uses.
pub struct StageRun<'a> {
    /// Shared state of the router.
    pub core: &'a RouterCore,
    /// Request as read from the headers.
    pub request: &'a CallerRequest,
    /// Request body.
    pub chat: &'a ChatRequest,
    /// Index of the stage in the route, from 0.
    pub stage: usize,
    /// Whether to keep the text of the answer, for a rating.
    pub keep_text: bool,
    /// Decisions made so far.
    pub trace: &'a mut DecisionTrace,
    /// Placement state of the request in crash containment.
    pub crash_tracker: &'a mut CrashTracker,
}

/// Answer of a stage.
pub struct StageAnswer {
    /// Version that answered.
    pub version: VersionName,
    /// Answer of the upstream.
    pub reply: EngineReply,
    /// The request as counted by the guard; `None` outside of roll-outs.
    pub served: Option<ServedRequest>,
}

/// Version and upstream of the next dispatch.
struct StageTarget {
    pick: GuardedPick,
    guard: InFlightGuard,
}

impl StageRun<'_> {
    /// Dispatches until an upstream answers or no further attempt is allowed.
    ///
    /// # Errors
    ///
    /// Returns a refusal whose run state covers all dispatches of the stage.
    pub async fn execute(mut self) -> Result<StageAnswer, CallerRefusal> {
        let mut log = AttemptLog::default();
        loop {
            let target = self.next_target(log.tried()).await;
            let target = target.map_err(|refusal| log.final_refusal(refusal))?;
            let StageTarget { pick, guard } = target;
            let (version, served) = (pick.version, pick.served);
            let host = Arc::clone(guard.host());
            match self.dispatch(guard, &version, served.is_some()).await {
                Ok(reply) => {
                    if matches!(reply, EngineReply::Whole(_)) {
                        self.crash_tracker.record_survival();
                    }
                    self.record_attempt(&version, &host.entry.name, AttemptResult::Answered);
                    return Ok(StageAnswer {
                        version,
                        reply,
                        served,
                    });
                }
                Err(failure) => {
                    let reason = failure.to_string();
                    self.record_attempt(
                        &version,
                        &host.entry.name,
                        AttemptResult::Failed { reason },
                    );
                    let crashed = self.crash_tracker.confirm_crash(&host, &failure).await;
                    log.record_failure(self.core, self.request, &host, failure, crashed)?;
                }
            }
        }
    }

    /// Chooses version and upstream of the next dispatch under the newest configuration.
    async fn next_target(&mut self, tried: &[HostName]) -> Result<StageTarget, CallerRefusal> {
        loop {
            let pick = self.pick_version()?;
            let available = self.available_upstreams(&pick.version, tried);
            match self.crash_tracker.place(&available).await {
                Placement::Shared { avoid } => {
                    return self.place(pick, tried, PlacementRule::Avoid(&avoid));
                }
                Placement::Isolated { upstream, drain_ms } => {
                    self.wait_until_idle(&pick.version, &upstream, drain_ms)
                        .await;
                    let new_pick = self.pick_version()?;
                    if new_pick.version == pick.version {
                        return self.place(new_pick, tried, PlacementRule::Only(&upstream));
                    }
                }
                Placement::Wait { .. } if self.all_tried(&pick.version, tried) => {
                    return self.place(pick, tried, PlacementRule::Avoid(&[]));
                }
                Placement::Wait { retry_after_ms } => self.wait_to_retry(retry_after_ms).await?,
                Placement::Quarantined => return Err(quarantine_refusal()),
            }
        }
    }

    /// Picks the version of the next dispatch under the newest configuration.
    fn pick_version(&mut self) -> Result<GuardedPick, CallerRefusal> {
        dispatch_checks::check_dispatch(self.core, self.request)?;
        let view = self.core.config.view();
        let plan = dispatch_checks::plan(&view, self.request, &self.chat.model)?;
        self.trace.config_offset = view.next_offset;
        let stage = &plan.stages[self.stage.min(plan.stages.len() - 1)];
        let mut excluded = plan.excluded.clone();
        let pick = guard::pick(self.core, &view, self.request, stage, &mut excluded);
        self.trace.set_excluded(&excluded);
        pick
    }

    fn place(
        &self,
        pick: GuardedPick,
        tried: &[HostName],
        rule: PlacementRule<'_>,
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

    /// Upstreams of `version` that have not been tried and are not suspect.
    fn available_upstreams(&self, version: &VersionName, tried: &[HostName]) -> Vec<HostName> {
        let now = self.core.clock.elapsed();
        let hosts = self.core.upstreams.serving(version);
        let is_available =
            |host: &UpstreamHost| !tried.contains(&host.entry.name) && !host.is_suspect(now);
        let available = hosts.iter().filter(|host| is_available(host));
        available.map(|host| host.entry.name.clone()).collect()
    }

    /// Whether every upstream of `version` has been tried.
    fn all_tried(&self, version: &VersionName, tried: &[HostName]) -> bool {
        let hosts = self.core.upstreams.serving(version);
        hosts.iter().all(|host| tried.contains(&host.entry.name))
    }

    /// Waits until `upstream` is idle, for at most `drain_ms` and the time left of the request.
    async fn wait_until_idle(&self, version: &VersionName, upstream: &HostName, drain_ms: u64) {
        let hosts = self.core.upstreams.serving(version);
        let Some(host) = hosts.iter().find(|host| host.entry.name == *upstream) else {
            return;
        };
        let limit = Duration::from_millis(drain_ms).min(self.request.time_left());
        let limit = Instant::now() + limit;
        while Instant::now() < limit && !is_idle(self.core, host) {
            sleep(IDLE_POLL_PERIOD).await;
        }
    }

    /// Waits before the next placement; refuses if the deadline would pass during the wait.
    async fn wait_to_retry(&self, retry_after_ms: u64) -> Result<(), CallerRefusal> {
        let pause = Duration::from_millis(retry_after_ms);
        if self.request.time_left() <= pause {
            return Err(CallerRefusal::retry_after(
                RefusalKind::NoUpstream,
                "no upstream was free to run the request alone after a crash; send it again later",
                SUSPECT_RETRY_AFTER,
            ));
        }
        sleep(pause).await;
        Ok(())
    }

    /// Hash of the session id, or else of the prompt prefix; `None` when the first message is shorter
    /// than the prefix and would gain too little from affinity.
    fn affinity(&self) -> Option<u64> {
        if let SessionRequest::Continue(token) = &self.request.session {
            return Some(xxh3_64(token.id.as_bytes()));
        }
        let first = self.chat.messages.first()?.content.as_str()?;
        let prefix = first.as_bytes().get(..AFFINITY_PREFIX_BYTES)?;
        Some(xxh3_64(prefix))
    }

    async fn dispatch(
        &self,
        guard: InFlightGuard,
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

    fn record_attempt(
        &mut self,
        version: &VersionName,
        upstream: &HostName,
        result: AttemptResult,
    ) {
        self.trace.attempts.push(AttemptRecord {
            stage: self.stage,
            version: version.clone(),
            upstream: upstream.clone(),
            result,
        });
    }
}

/// Whether `host` has no request in flight from this router and reported none running or queued.
fn is_idle(core: &RouterCore, host: &UpstreamHost) -> bool {
    let load = host.load(core.clock.elapsed(), None);
    let reported = load
        .report
        .map_or(0, |report| report.running + report.queued);
    load.own_in_flight == 0 && reported == 0
}

/// Refusal of a request that is quarantined because it crashed upstreams.
fn quarantine_refusal() -> CallerRefusal {
    CallerRefusal::permanent(
        RefusalKind::Quarantined,
        "the request crashed the upstreams that ran it; change it before you send it again",
    )
    .with_run(RunState::MayHaveRun)
}
