//! One roll-out as this router knows it.

use std::collections::BTreeMap;
use std::time::Duration;

use ferry_decisions::names::VersionName;
use ferry_decisions::rollout::{
    AnswerQuality, ClassCounts, EvidencePool, EvidenceRow, PlanQuery, RolloutOrder, RolloutPhase,
    RolloutPlan, VersionSide,
};
use ferry_decisions::time::MonotonicTime;

use crate::relay::answer_pace::AnswerPace;
use crate::relay::upstreams::UpstreamDirectory;

/// Time without an exchange after which no further conversation is moved to the new version.
const EXCHANGE_LIFE: Duration = Duration::from_millis(2_500);
/// Time after which a row no longer tells what is in flight at its router.
const ROW_LIFE: Duration = Duration::from_millis(2_500);

/// State of one order.
#[derive(Debug)]
pub struct ActiveRollout {
    /// The order.
    pub order: RolloutOrder,
    /// Offset of the order in the operator's topic.
    pub offset: u64,
    /// Phase in force; absent until the store was asked.
    pub phase: Option<RolloutPhase>,
    /// Counts of this router.
    pub own: EvidenceRow,
    /// Pace of the old versions' answers.
    pub pace: AnswerPace,
    /// Rows of the routers that ask this one.
    neighbours: BTreeMap<String, EvidenceRow>,
    plan: RolloutPlan,
    pool: EvidencePool,
    /// Moment of the order, or the earliest that a router knows of.
    started: MonotonicTime,
    phase_began: MonotonicTime,
    /// Last exchange with the other routers.
    exchanged: Option<MonotonicTime>,
    /// Harm that the evidence known here shows.
    harm: Option<String>,
}

impl ActiveRollout {
    /// A roll-out whose order was just read.
    pub fn new(order: RolloutOrder, offset: u64, router: &str, now: MonotonicTime) -> Self {
        Self {
            plan: RolloutPlan {
                duration: order.duration,
                canary_share: 0.0,
            },
            order,
            offset,
            phase: None,
            own: EvidenceRow {
                router: router.to_owned(),
                ..EvidenceRow::default()
            },
            pace: AnswerPace::default(),
            neighbours: BTreeMap::new(),
            pool: EvidencePool::default(),
            started: now,
            phase_began: now,
            exchanged: None,
            harm: None,
        }
    }

    /// Version that a conversation gets; `point` is uniform in `0.0..1.0` and its own.
    pub fn side(&self, point: f64, last: Option<VersionSide>, now: MonotonicTime) -> VersionSide {
        let Some(phase) = self.phase else {
            return VersionSide::Base;
        };
        match phase {
            RolloutPhase::Completed => return VersionSide::Target,
            RolloutPhase::Reverted => return VersionSide::Base,
            _ if self.harm.is_some() => return VersionSide::Base,
            RolloutPhase::Full => return VersionSide::Target,
            RolloutPhase::Canary | RolloutPhase::Ramp => {}
        }
        let pinned = last == Some(VersionSide::Base) && self.plan.pins_old(self.elapsed(now));
        let in_touch = self
            .exchanged
            .is_some_and(|at| now.since(at) < EXCHANGE_LIFE);
        let moves = !pinned && in_touch && point < self.plan.share(phase);
        if last == Some(VersionSide::Target) || moves {
            VersionSide::Target
        } else {
            VersionSide::Base
        }
    }

    /// Whether a request that `failed` answered badly goes to another version.
    pub fn spares(&self, failed: Option<&VersionName>) -> bool {
        let spares =
            self.phase.is_none_or(RolloutPhase::retries_on_old_version) || self.harm.is_some();
        spares && failed == Some(&self.order.target)
    }

    /// Counts an answer; returns whether the evidence now shows harm for the first time.
    pub fn record(
        &mut self,
        class: &str,
        side: VersionSide,
        quality: AnswerQuality,
        now: MonotonicTime,
    ) -> bool {
        if self.is_final() {
            return false;
        }
        let counts = self.own.classes.entry(class.to_owned()).or_default();
        counts.add(side, quality);
        self.pool.merge(self.own.clone(), now);
        side == VersionSide::Target && self.test()
    }

    /// The row that the other routers get.
    pub fn own_row(&mut self, upstreams: &UpstreamDirectory, now: MonotonicTime) -> EvidenceRow {
        let RolloutOrder {
            service, target, ..
        } = &self.order;
        self.own.old_in_flight = upstreams.in_flight_except(service, target);
        self.own.phase = self.phase;
        self.own.elapsed_ms = self.elapsed(now).as_millis() as u64;
        self.pool.merge(self.own.clone(), now);
        self.own.clone()
    }

    /// Takes in rows of other routers.
    pub fn merge(&mut self, rows: Vec<EvidenceRow>, now: MonotonicTime) {
        for row in rows {
            let started = now.before(Duration::from_millis(row.elapsed_ms));
            self.started = self.started.min(started);
            self.pool.merge(row, now);
        }
        self.exchanged = Some(now);
        self.test();
    }

    /// Takes in the row of a router that asks this one.
    pub fn merge_neighbour(&mut self, row: EvidenceRow, now: MonotonicTime) {
        self.neighbours.insert(row.router.clone(), row.clone());
        self.pool.merge(row, now);
        self.test();
    }

    /// Rows of the routers that ask this one, in the order of their names.
    pub fn neighbour_rows(&self) -> impl Iterator<Item = &EvidenceRow> {
        self.neighbours.values()
    }

    /// Counts of the fleet by class.
    pub fn class_totals(&self) -> BTreeMap<String, ClassCounts> {
        self.pool.class_totals()
    }

    /// Time since the order.
    pub fn elapsed(&self, now: MonotonicTime) -> Duration {
        now.since(self.started)
    }

    /// Takes in the state of a router that exchanges evidence with the fleet.
    pub fn take_pooled(
        &mut self,
        classes: BTreeMap<String, ClassCounts>,
        elapsed: Duration,
        now: MonotonicTime,
    ) {
        self.started = self.started.min(now.before(elapsed));
        self.pool.set_reported_totals(classes);
        self.exchanged = Some(now);
        self.test();
    }

    /// Part of the conversations that the first phase moves; 0 while it is not known.
    pub fn canary_share(&self) -> f64 {
        self.plan.canary_share
    }

    /// Takes in a phase that the store holds.
    pub fn enter(&mut self, phase: RolloutPhase, canary_share: f64, now: MonotonicTime) {
        self.plan.canary_share = canary_share;
        if self.phase.is_some_and(|held| !held.may_become(phase)) {
            return;
        }
        spdlog::info!("roll-out phase", kv: {
            service = self.order.service.as_str(),
            target = self.order.target.as_str(),
            phase:? = phase,
            elapsed_ms = self.elapsed(now).as_millis() as u64,
            harm = self.harm.as_deref().unwrap_or_default(),
        });
        self.phase = Some(phase);
        self.phase_began = now;
    }

    /// The phase to which the roll-out should move now.
    pub fn next_phase(&self, now: MonotonicTime) -> Option<RolloutPhase> {
        let phase = self.phase?;
        if phase.is_final() {
            return None;
        }
        if self.harm.is_some() {
            return Some(RolloutPhase::Reverted);
        }
        self.plan.next_phase(&PlanQuery {
            phase,
            elapsed: self.elapsed(now),
            in_phase: now.since(self.phase_began),
            answers: self.pool.totals().target_answers(),
            old_in_flight: self.pool.old_in_flight(now.before(ROW_LIFE)),
        })
    }

    /// Whether the roll-out has ended.
    pub fn is_final(&self) -> bool {
        self.phase.is_some_and(RolloutPhase::is_final)
    }

    /// Runs the tests; returns whether they find harm for the first time.
    fn test(&mut self) -> bool {
        if self.harm.is_some() {
            return false;
        }
        self.harm = self.pool.harm();
        if let Some(harm) = &self.harm {
            spdlog::warn!("the new version does harm", kv: {
                service = self.order.service.as_str(),
                target = self.order.target.as_str(),
                evidence = harm.as_str(),
            });
        }
        self.harm.is_some()
    }
}
