//! Roll-outs known to this relay, by service.

use std::collections::HashMap;
use std::time::Duration;

use ferry_decisions::names::{ServiceName, VersionName};
use ferry_decisions::rollout::{
    AnswerAspect, AnswerQuality, OrderHistory, OrderStep, RolloutOrder, RolloutPhase, RolloutPlan,
    VersionSide,
};
use ferry_decisions::time::MonotonicTime;
use ferry_decisions::topic::TopicPosition;
use parking_lot::Mutex;
use tokio::sync::Notify;

use super::active_rollout::ActiveRollout;
use super::rated_time::{MIN_SLOW_LATENCY, RatedTime, rate_head, rate_pace};
use super::session_versions::{SessionKey, SessionVersions};

/// Restricts a request to the upstreams of the target version, or to those of the others.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionPick {
    /// Version that the roll-out introduces.
    pub target: VersionName,
    /// Whether the request uses the target version or any other version.
    pub side: VersionSide,
    /// Plan and phase, which bound the number of target upstreams in use; absent before the first phase.
    pub spread: Option<(RolloutPlan, RolloutPhase)>,
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
    /// What is known of the answer.
    pub sign: AnswerSign,
}

/// What is known of an answer at some moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerSign {
    /// Its head has come, so long after the send.
    Head(Duration),
    /// The first pieces of its stream have come, with this mean pause.
    Pace(Duration),
    /// Its head has not come within the time that `RolloutManager::overdue_after` states.
    Overdue,
    /// It failed or broke off.
    Failure,
}

/// Active and ended roll-outs by service, with the versions of current conversations.
#[derive(Debug)]
pub struct RolloutManager {
    /// Host and random incarnation of this process, which identify it in evidence rows.
    router: String,
    active: Mutex<HashMap<ServiceName, ActiveRollout>>,
    /// Orders of each service, by which those that the store gives out again after it came back from an older copy are told.
    histories: Mutex<HashMap<ServiceName, OrderHistory>>,
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
            histories: Mutex::default(),
            sessions: SessionVersions::default(),
            wake: Notify::new(),
        }
    }

    /// Starts the roll-out ordered at `position`, in place of the service's former one; a known or an older order changes
    /// nothing.
    pub fn apply_order(&self, order: RolloutOrder, position: TopicPosition, now: MonotonicTime) {
        let mut histories = self.histories.lock();
        let history = histories.entry(order.service.clone()).or_default();
        match history.observe(&order, position, now) {
            OrderStep::Begin => self.begin_rollout(order, position, now),
            OrderStep::Move => self.move_rollout(&order.service, position),
            OrderStep::Ignore => return,
        }
        self.wake.notify_one();
    }

    fn begin_rollout(&self, order: RolloutOrder, position: TopicPosition, now: MonotonicTime) {
        spdlog::info!("roll-out ordered", kv: {
            service = order.service.as_str(),
            target = order.target.as_str(),
            duration_ms = order.duration.as_millis() as u64,
            order = position.offset,
        });
        let service = order.service.clone();
        let rollout = ActiveRollout::new(order, position, &self.router, now);
        self.active.lock().insert(service, rollout);
    }

    /// Lets the roll-out of `service` go on under the position that its order has in a new era of the store.
    fn move_rollout(&self, service: &ServiceName, position: TopicPosition) {
        self.with(service, |rollout| {
            spdlog::info!("roll-out goes on in the store's new era", kv: {
                service = service.as_str(),
                target = rollout.order.target.as_str(),
                order = position.offset,
                former = rollout.offset(),
                era = position.era.0,
            });
            rollout.position = position;
        });
    }

    /// Drops the roll-out of `service` after the operator withdrew its order.
    pub fn remove_order(&self, service: &ServiceName) {
        if let Some(history) = self.histories.lock().get_mut(service) {
            history.withdraw();
        }
        self.active.lock().remove(service);
    }

    /// Number of known roll-outs.
    pub fn count(&self) -> usize {
        self.active.lock().len()
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
        let key = SessionKey::new(service, session);
        let point = key.point(rollout.seed);
        let last = self.sessions.last_version(key, gap, now);
        let last = last.map(|version| side_of(&version, rollout));
        let side = rollout.side(point, last, now);
        Some(VersionPick {
            target: rollout.order.target.clone(),
            spread: rollout.phase.map(|phase| (rollout.plan(), phase)),
            side: if rollout.avoids_target(failed) {
                VersionSide::Base
            } else {
                side
            },
        })
    }

    /// Adds the ongoing conversations of this router to its rows of roll-outs whose new version has no traffic yet.
    ///
    /// `max_share` bounds the canary share while it is not known.
    pub fn report_ongoing(&self, max_share: f64, gap: Duration, now: MonotonicTime) {
        let mut active = self.active.lock();
        let reporting = active
            .values_mut()
            .filter(|rollout| rollout.reports_ongoing());
        for rollout in reporting {
            let share = match rollout.phase {
                Some(_) => rollout.canary_share(),
                None => max_share,
            };
            let points = self.sessions.points_below(share, rollout.seed, gap, now);
            rollout.add_ongoing(points, now);
        }
    }

    /// Counts a send to `version` of `service`.
    pub fn record_send(&self, service: &ServiceName, version: &VersionName) {
        let mut active = self.active.lock();
        if let Some(rollout) = active.get_mut(service) {
            rollout.record_send(side_of(version, rollout));
        }
    }

    /// Time after which an answer without its head is overdue; `None` while it can't be told or the service has no
    /// roll-out.
    pub fn overdue_after(&self, answer: &AnswerEvidence<'_>) -> Option<Duration> {
        let active = self.active.lock();
        let rollout = active.get(answer.service)?;
        if rollout.is_final() {
            return None;
        }
        let usual = rollout
            .base_latency
            .expected(&latency_class(answer), answer.prompt_tokens)?;
        let limit = usual.mul_f64(known_phase(rollout).slow_factor());
        Some(limit.max(MIN_SLOW_LATENCY))
    }

    /// Counts an answer or a failure as evidence, and wakes the exchange if it shows harm.
    pub fn record(&self, answer: &AnswerEvidence<'_>, now: MonotonicTime) {
        let mut active = self.active.lock();
        let rollout = active.get_mut(answer.service);
        let Some(rollout) = rollout.filter(|rollout| !rollout.is_final()) else {
            return;
        };
        let side = side_of(answer.version, rollout);
        match answer.sign {
            AnswerSign::Head(took) => {
                let rated = rate_head(rollout, side, answer, took);
                rollout.count_time(answer.class, side, AnswerAspect::Head, rated);
                rollout.count(
                    answer.class,
                    side,
                    AnswerAspect::Failure,
                    AnswerQuality::Good,
                );
            }
            AnswerSign::Pace(pause) => {
                let rated = rate_pace(rollout, side, answer, pause);
                rollout.count_time(answer.class, side, AnswerAspect::Pace, rated);
            }
            AnswerSign::Overdue => {
                let rated = RatedTime {
                    ratio: Some(known_phase(rollout).slow_factor()),
                    quality: AnswerQuality::Bad,
                };
                rollout.count_time(answer.class, side, AnswerAspect::Head, rated);
            }
            AnswerSign::Failure => {
                rollout.count(
                    answer.class,
                    side,
                    AnswerAspect::Failure,
                    AnswerQuality::Bad,
                );
            }
        }
        if rollout.test_answer(side, now) {
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

/// Class of the usual time to the head.
pub(super) fn latency_class(answer: &AnswerEvidence<'_>) -> String {
    format!("{}/{}", answer.class, answer.model)
}

pub(super) fn known_phase(rollout: &ActiveRollout) -> RolloutPhase {
    rollout.phase.unwrap_or(RolloutPhase::Canary)
}
