//! Placement of one request by the crash pool, and the outcomes reported back to the pool.

use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::names::{HostName, WorkspaceName};
use ferry_decisions::quarantine::{Placement, RequestFingerprint, RunOutcome};
use ferry_decisions::retry::UpstreamFailure;
use ferry_kernel::http::{HttpError, HttpRequest};
use ferry_platform::engine::ChatRequest;
use tokio::time::{Instant, sleep};

use crate::core::RouterCore;
use crate::dispatch::DispatchFailure;
use crate::upstream::UpstreamHost;

/// Timeout of one probe of an upstream that broke a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Consecutive unanswered probes after which such an upstream counts as down.
const MAX_UNANSWERED_PROBES: usize = 4;
/// Pause before an upstream that answered a probe is probed once more. One that is crashing may have broken off its requests and
/// still answer for a moment; its crash went uncounted then.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(100);
/// Longest time for which a suspect is held while a live router has not acknowledged its run. A router that is gone no
/// longer counts as live after 2 s; one that is reached through others only has its report by then.
const MAX_HOLD_TIME: Duration = Duration::from_secs(3);
/// Delay before a suspect is placed again after its run could not be confirmed, in milliseconds.
const PLACE_AGAIN_MS: u64 = 50;

/// Places one request and reports its runs; an isolated placement is released on drop at the latest.
pub struct CrashTracker {
    core: Arc<RouterCore>,
    fingerprint: RequestFingerprint,
    /// Whether the request currently has an upstream to itself.
    isolated: bool,
    /// When an isolated placement was first not acknowledged by all live routers.
    held_since: Option<Instant>,
}

impl CrashTracker {
    /// Creates the tracker of `chat`, a request of `workspace`.
    pub fn new(core: Arc<RouterCore>, workspace: &WorkspaceName, chat: &ChatRequest) -> Self {
        let body = serde_json::to_vec(chat).unwrap_or_default();
        Self {
            core,
            fingerprint: RequestFingerprint::of(workspace, &chat.model, &body),
            isolated: false,
            held_since: None,
        }
    }

    /// Decides where the request may run next, given the `upstreams` that are available to it.
    ///
    /// A suspect is placed only once the other live routers know of its run, and hold other sends of the same request until
    /// it has ended.
    pub async fn place(&mut self, upstreams: &[HostName]) -> Placement {
        self.end(RunOutcome::Abandoned);
        let placement = self.core.crashes.with(&self.core, |pool, now| {
            pool.place(&self.fingerprint, upstreams, now)
        });
        self.isolated = matches!(placement, Placement::Isolated { .. });
        if !self.isolated || self.confirm_run().await {
            return placement;
        }
        self.end(RunOutcome::Abandoned);
        Placement::Wait {
            retry_after_ms: PLACE_AGAIN_MS,
        }
    }

    /// Announces the isolated run to the other routers; returns whether it may start.
    async fn confirm_run(&mut self) -> bool {
        let crashes = &self.core.crashes;
        let is_known = crashes.inform_routers(&self.core, &self.fingerprint).await;
        let is_first = crashes.with(&self.core, |pool, now| {
            pool.may_start_run(&self.fingerprint, now)
        });
        if is_known {
            self.held_since = None;
            return is_first;
        }
        let held_since = *self.held_since.get_or_insert_with(Instant::now);
        is_first && held_since.elapsed() >= MAX_HOLD_TIME
    }

    /// Whether `failure` was a crash of `host`; a crash is recorded against the request's fingerprint, and the other live
    /// routers have acknowledged it, or a time limit has passed, before the caller is answered.
    pub async fn confirm_crash(&mut self, host: &UpstreamHost, failure: &DispatchFailure) -> bool {
        if !is_broken_connection(failure.kind) || !self.is_down(host).await {
            return false;
        }
        host.mark_suspect(self.core.clock.elapsed());
        let upstream = &host.entry.name;
        spdlog::warn!("upstream crashed while running a request", kv: {
            upstream = upstream.as_str(),
            fingerprint = self.fingerprint.to_string()
        });
        metrics::counter!("ferry_upstream_crashes_total", "upstream" => upstream.to_string())
            .increment(1);
        self.core.crashes.with(&self.core, |pool, now| {
            pool.record_crash(upstream, &[self.fingerprint], now);
        });
        self.end(RunOutcome::Crashed);
        self.core
            .crashes
            .inform_routers(&self.core, &self.fingerprint)
            .await;
        true
    }

    /// Records that the request was answered completely.
    pub fn record_survival(&mut self) {
        self.end(RunOutcome::Survived);
    }

    fn end(&mut self, outcome: RunOutcome) {
        if !std::mem::take(&mut self.isolated) {
            return;
        }
        self.core.crashes.with(&self.core, |pool, now| {
            pool.finish_run(&self.fingerprint, outcome, now);
        });
    }

    /// Whether `host` refuses connections, breaks them again, or leaves all probes unanswered. Several
    /// probes are needed since a crashing upstream may still accept connections, or answer, for a while.
    async fn is_down(&self, host: &UpstreamHost) -> bool {
        let url = format!("{}/load", host.url());
        let (mut unanswered, mut has_answered) = (0, false);
        while unanswered < MAX_UNANSWERED_PROBES {
            let probe = self.core.http.send(HttpRequest::get(&url), PROBE_TIMEOUT);
            match probe.await {
                Err(HttpError::Timeout { .. }) => unanswered += 1,
                Err(HttpError::Connect { .. } | HttpError::Broken { .. }) => return true,
                Ok(_) | Err(_) if has_answered => return false,
                Ok(_) | Err(_) => {
                    has_answered = true;
                    sleep(SECOND_PROBE_DELAY).await;
                }
            }
        }
        true
    }
}

impl Drop for CrashTracker {
    fn drop(&mut self) {
        self.end(RunOutcome::Abandoned);
    }
}

/// Whether a failure is a broken connection, as a crash of the upstream causes it.
fn is_broken_connection(kind: UpstreamFailure) -> bool {
    matches!(
        kind,
        UpstreamFailure::BrokenBeforeAnswer | UpstreamFailure::BrokenInAnswer
    )
}
