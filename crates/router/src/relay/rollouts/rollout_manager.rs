//! Roll-outs known to this relay, by service.

use std::collections::HashMap;
use std::time::Duration;

use ferry_decisions::hash_point;
use ferry_decisions::names::{ServiceName, VersionName};
use ferry_decisions::rollout::{AnswerQuality, RolloutOrder, RolloutPhase, VersionSide};
use ferry_decisions::time::MonotonicTime;
use parking_lot::Mutex;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::active_rollout::ActiveRollout;
use super::session_versions::{SessionKey, SessionVersions};

/// Answers that take at most this long never count as slow.
const MIN_SLOW_LATENCY: Duration = Duration::from_millis(120);

/// Restricts a request to the upstreams of the target version, or to those of the others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionPick {
    /// Version that the roll-out introduces.
    pub target: VersionName,
    /// Whether the request uses the target version or any other version.
    pub side: VersionSide,
}

/// An answer or a failure that counts as evidence about a version.
#[derive(Debug, Clone, Copy)]
pub struct AnswerEvidence<'a> {
    /// Service that answered.
    pub service: &'a ServiceName,
    /// Version that answered.
    pub version: &'a VersionName,
    /// Class of the request: the name of its rule.
    pub class: &'a str,
    /// Model that the router chose; empty where it chose none.
    pub model: &'a str,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Time from the send to the head of the answer; absent for a failure.
    pub took: Option<Duration>,
}

/// Active and ended roll-outs by service, with the versions of current conversations.
#[derive(Debug)]
pub struct RolloutManager {
    /// Host and random incarnation of this process, which identify it in evidence rows.
    router: String,
    active: Mutex<HashMap<ServiceName, ActiveRollout>>,
    /// Version that each recent conversation uses.
    pub sessions: SessionVersions,
    /// Wakes the evidence exchange before its next period: on a new order, or when harm is found.
    pub wake: Notify,
}

impl RolloutManager {
    /// A manager without roll-outs; `router` names this router and its incarnation.
    pub fn new(router: &str) -> Self {
        Self {
            router: router.to_owned(),
            active: Mutex::default(),
            sessions: SessionVersions::default(),
            wake: Notify::new(),
        }
    }

    /// Starts the roll-out ordered at `offset`, in place of the service's former one; a known order changes nothing.
    pub fn apply_order(&self, order: RolloutOrder, offset: u64, now: MonotonicTime) {
        let mut active = self.active.lock();
        let known = active.get(&order.service);
        if known.is_some_and(|known| known.offset == offset) {
            return;
        }
        spdlog::info!("roll-out ordered", kv: {
            service = order.service.as_str(),
            target = order.target.as_str(),
            duration_ms = order.duration.as_millis() as u64,
            order = offset,
        });
        let service = order.service.clone();
        let rollout = ActiveRollout::new(order, offset, &self.router, now);
        active.insert(service, rollout);
        self.wake.notify_one();
    }

    /// Drops the roll-out of `service` after the operator withdrew its order.
    pub fn remove_order(&self, service: &ServiceName) {
        self.active.lock().remove(service);
    }

    /// Whether a phase is known for every roll-out.
    pub fn has_all_phases(&self) -> bool {
        let active = self.active.lock();
        active.values().all(|rollout| rollout.phase.is_some())
    }

    /// Services whose roll-out has not ended.
    pub fn unfinished_services(&self) -> Vec<ServiceName> {
        let active = self.active.lock();
        let unfinished = active.iter().filter(|(_, rollout)| !rollout.is_final());
        unfinished.map(|(service, _)| service.clone()).collect()
    }

    /// Runs `action` on the roll-out of `service` and returns its result; `None` if there is no roll-out.
    pub fn with<R>(
        &self,
        service: &ServiceName,
        action: impl FnOnce(&mut ActiveRollout) -> R,
    ) -> Option<R> {
        self.active.lock().get_mut(service).map(action)
    }

    /// Collects the results of `view` on every roll-out, including ended ones.
    pub fn map_all<R>(&self, view: impl Fn(&ServiceName, &ActiveRollout) -> R) -> Vec<R> {
        let active = self.active.lock();
        active
            .iter()
            .map(|(service, rollout)| view(service, rollout))
            .collect()
    }

    /// Picks the version for a request of the conversation `session`; `None` if the service has no roll-out.
    ///
    /// `gap` is the longest pause between two requests of a conversation, `failed` the version whose
    /// upstream last failed this request.
    pub fn pick(
        &self,
        service: &ServiceName,
        session: &str,
        failed: Option<&VersionName>,
        gap: Duration,
        now: MonotonicTime,
    ) -> Option<VersionPick> {
        let active = self.active.lock();
        let rollout = active.get(service)?;
        let point = hash_point(xxh3_64_with_seed(session.as_bytes(), rollout.offset));
        let last = self
            .sessions
            .last_version(SessionKey::new(service, session), gap, now);
        let last = last.map(|version| side_of(&version, rollout));
        let side = rollout.side(point, last, now);
        Some(VersionPick {
            target: rollout.order.target.clone(),
            side: if rollout.avoids_target(failed) {
                VersionSide::Base
            } else {
                side
            },
        })
    }

    /// Counts an answer or a failure as evidence, and wakes the exchange if it shows harm.
    pub fn record(&self, answer: &AnswerEvidence<'_>, now: MonotonicTime) {
        let mut active = self.active.lock();
        let Some(rollout) = active.get_mut(answer.service) else {
            return;
        };
        let side = side_of(answer.version, rollout);
        let quality = rate_answer(rollout, side, answer);
        if rollout.record(answer.class, side, quality, now) {
            self.wake.notify_one();
        }
    }
}

fn side_of(version: &VersionName, rollout: &ActiveRollout) -> VersionSide {
    if *version == rollout.order.target {
        VersionSide::Target
    } else {
        VersionSide::Base
    }
}

fn rate_answer(
    rollout: &mut ActiveRollout,
    side: VersionSide,
    answer: &AnswerEvidence<'_>,
) -> AnswerQuality {
    let Some(took) = answer.took else {
        return AnswerQuality::Bad;
    };
    let class = format!("{}/{}", answer.class, answer.model);
    match side {
        VersionSide::Base => {
            rollout
                .base_latency
                .record(&class, took, answer.prompt_tokens);
            AnswerQuality::Good
        }
        VersionSide::Target if is_slow(rollout, &class, took, answer) => AnswerQuality::Bad,
        VersionSide::Target => AnswerQuality::Good,
    }
}

fn is_slow(
    rollout: &ActiveRollout,
    class: &str,
    took: Duration,
    answer: &AnswerEvidence<'_>,
) -> bool {
    let ratio = rollout
        .base_latency
        .ratio(class, took, answer.prompt_tokens);
    let factor = rollout.phase.unwrap_or(RolloutPhase::Canary).slow_factor();
    took > MIN_SLOW_LATENCY && ratio.is_some_and(|ratio| ratio > factor)
}
