//! Roll-outs that this relay knows of, by service.

use std::collections::HashMap;
use std::time::Duration;

use ferry_decisions::hash_point;
use ferry_decisions::names::{Incarnation, ServiceName, VersionName};
use ferry_decisions::rollout::{AnswerQuality, RolloutOrder, RolloutPhase, VersionSide};
use ferry_decisions::time::MonotonicTime;
use parking_lot::Mutex;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::active_rollout::ActiveRollout;
use super::session_memory::{SessionKey, SessionMemory};

/// Answers faster than this are never slow.
const NEVER_SLOW: Duration = Duration::from_millis(120);

/// Which upstreams of a service a request may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionPick {
    /// Version that is brought in.
    pub target: VersionName,
    /// Whether the request gets that version or any other one.
    pub side: VersionSide,
}

/// An answer, as the evidence counts it.
#[derive(Debug, Clone, Copy)]
pub struct AnswerNote<'a> {
    /// Service that answered.
    pub service: &'a ServiceName,
    /// Version that answered.
    pub version: &'a VersionName,
    /// Class of the request.
    pub class: &'a str,
    /// Model that answered; empty for plain services.
    pub model: &'a str,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Time to the head of the answer; absent for a failure.
    pub took: Option<Duration>,
}

/// Roll-outs by service.
#[derive(Debug)]
pub struct RolloutDesk {
    /// This router and life, as its rows name it.
    router: String,
    active: Mutex<HashMap<ServiceName, ActiveRollout>>,
    /// Versions of the conversations under way.
    pub sessions: SessionMemory,
    /// Wakes the exchange when something is urgent.
    pub wake: Notify,
}

impl RolloutDesk {
    /// A desk of the router on `host`.
    pub fn new(host: &str) -> Self {
        Self {
            router: format!("{host}/{}", Incarnation::random().0.simple()),
            active: Mutex::default(),
            sessions: SessionMemory::default(),
            wake: Notify::new(),
        }
    }

    /// Takes in an order that was read at `offset`; one that is known changes nothing.
    pub fn take_order(&self, order: RolloutOrder, offset: u64, now: MonotonicTime) {
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

    /// Takes in that the order of `service` was taken back.
    pub fn drop_order(&self, service: &ServiceName) {
        self.active.lock().remove(service);
    }

    /// Whether the phase of every roll-out is known.
    pub fn is_settled(&self) -> bool {
        let active = self.active.lock();
        active.values().all(|rollout| rollout.phase.is_some())
    }

    /// Services whose roll-outs have not ended.
    pub fn open_services(&self) -> Vec<ServiceName> {
        let active = self.active.lock();
        let open = active.iter().filter(|(_, rollout)| !rollout.is_final());
        open.map(|(service, _)| service.clone()).collect()
    }

    /// Runs `action` on the roll-out of `service`, if there is one.
    pub fn with<R>(
        &self,
        service: &ServiceName,
        action: impl FnOnce(&mut ActiveRollout) -> R,
    ) -> Option<R> {
        self.active.lock().get_mut(service).map(action)
    }

    /// Runs `view` on every roll-out, ended ones included.
    pub fn map_all<R>(&self, view: impl Fn(&ServiceName, &ActiveRollout) -> R) -> Vec<R> {
        let active = self.active.lock();
        active
            .iter()
            .map(|(service, rollout)| view(service, rollout))
            .collect()
    }

    /// Which version a request of the conversation `session` gets; nothing where all may be used.
    ///
    /// `gap` is the longest pause within a conversation, `failed` the version that last failed
    /// the request.
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
            .recall(SessionKey::new(service, session), gap, now);
        let last = last.map(|version| side_of(&version, rollout));
        let side = rollout.side(point, last, now);
        Some(VersionPick {
            target: rollout.order.target.clone(),
            side: if rollout.spares(failed) {
                VersionSide::Base
            } else {
                side
            },
        })
    }

    /// Counts an answer or a failure.
    pub fn record(&self, note: &AnswerNote<'_>, now: MonotonicTime) {
        let mut active = self.active.lock();
        let Some(rollout) = active.get_mut(note.service) else {
            return;
        };
        let side = side_of(note.version, rollout);
        let quality = judge(rollout, side, note);
        if rollout.record(note.class, side, quality, now) {
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

fn judge(rollout: &mut ActiveRollout, side: VersionSide, note: &AnswerNote<'_>) -> AnswerQuality {
    let Some(took) = note.took else {
        return AnswerQuality::Bad;
    };
    let class = format!("{}/{}", note.class, note.model);
    match side {
        VersionSide::Base => {
            rollout.pace.learn(&class, took, note.prompt_tokens);
            AnswerQuality::Good
        }
        VersionSide::Target if is_slow(rollout, &class, took, note) => AnswerQuality::Bad,
        VersionSide::Target => AnswerQuality::Good,
    }
}

fn is_slow(rollout: &ActiveRollout, class: &str, took: Duration, note: &AnswerNote<'_>) -> bool {
    let ratio = rollout.pace.ratio(class, took, note.prompt_tokens);
    let factor = rollout.phase.unwrap_or(RolloutPhase::Canary).slow_factor();
    took > NEVER_SLOW && ratio.is_some_and(|ratio| ratio > factor)
}
