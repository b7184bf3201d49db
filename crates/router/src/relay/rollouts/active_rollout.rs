//! State of one roll-out at this router.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ferry_decisions::names::VersionName;
use ferry_decisions::rollout::{
    AnswerAspect, AnswerQuality, ClassCounts, EvidencePool, EvidenceRow, ExposureBound, PlanInput,
    RolloutOrder, RolloutPhase, RolloutPlan, TimeSpread, VersionSide, conversation_mark,
};
use ferry_decisions::time::MonotonicTime;
use ferry_decisions::topic::TopicPosition;
use ferry_decisions::workload::LatencyModel;
use ferry_platform::entries::RolloutStatus;

use super::pace_model::PaceModel;
use super::rated_time::RatedTime;
use crate::relay::upstreams::UpstreamDirectory;

/// Answers of the old versions at this router from which their mean time is compared with: few, since a roll-out is short.
const MIN_BASE_ANSWERS: u32 = 4;
/// Age of the last exchange with the fleet at which conversations are no longer moved to the new version.
const MAX_EXCHANGE_AGE: Duration = Duration::from_millis(2_500);
/// Age beyond which a router's row is not counted for the requests in flight on the old versions.
const MAX_ROW_AGE: Duration = Duration::from_millis(2_500);

/// Phase, evidence and timing of the roll-out that one order started.
#[derive(Debug)]
pub struct ActiveRollout {
    /// The operator's order: service, target version and duration.
    pub order: RolloutOrder,
    /// Position of the order in the operator's topic, which is another one after the store came back from an older copy.
    pub position: TopicPosition,
    /// Seed of the conversations' numbers: the first offset of the order, so that conversations keep their versions.
    pub seed: u64,
    /// Phase in force; absent until one is read from the store or received from another router.
    pub phase: Option<RolloutPhase>,
    /// Evidence row of this router.
    pub own: EvidenceRow,
    /// Usual latency of the old versions, with which the latency of the new version is compared.
    pub base_latency: LatencyModel,
    /// Pace of the old versions' streams.
    pub base_pace: PaceModel,
    /// Latest row of each router that syncs from this one, by router name.
    clients: BTreeMap<String, EvidenceRow>,
    plan: RolloutPlan,
    pool: EvidencePool,
    /// When the roll-out started: the earliest time known here or reported by another router.
    started_at: MonotonicTime,
    phase_started_at: MonotonicTime,
    /// Time of the last exchange with the other routers; absent before the first one.
    exchanged_at: Option<MonotonicTime>,
    /// Description of the harm that the evidence shows; absent while none is found.
    harm: Option<String>,
}

impl ActiveRollout {
    /// A roll-out whose order has just been read at `position`; `router` names this router in its evidence row.
    pub fn new(
        order: RolloutOrder,
        position: TopicPosition,
        router: &str,
        now: MonotonicTime,
    ) -> Self {
        Self {
            plan: RolloutPlan {
                duration: order.duration,
                canary_share: 0.0,
            },
            order,
            position,
            seed: position.offset,
            phase: None,
            own: EvidenceRow {
                router: router.to_owned(),
                ..EvidenceRow::default()
            },
            base_latency: LatencyModel::with_min_answers(MIN_BASE_ANSWERS),
            base_pace: PaceModel::default(),
            clients: BTreeMap::new(),
            pool: EvidencePool::default(),
            started_at: now,
            phase_started_at: now,
            exchanged_at: None,
            harm: None,
        }
    }

    /// Offset of the order in the operator's topic, by which routers name the roll-out.
    pub fn offset(&self) -> u64 {
        self.position.offset
    }

    /// Side that a conversation gets.
    ///
    /// `point` is the conversation's fixed, uniform number in `0.0..1.0`, and `last` the side of its last request.
    pub fn side(&self, point: f64, last: Option<VersionSide>, now: MonotonicTime) -> VersionSide {
        let Some(phase) = self.phase else {
            return VersionSide::Base;
        };
        match phase {
            RolloutPhase::Completed => return VersionSide::Target,
            RolloutPhase::Announced | RolloutPhase::Reverted => return VersionSide::Base,
            _ if self.harm.is_some() => return VersionSide::Base,
            RolloutPhase::Full => return VersionSide::Target,
            RolloutPhase::Canary | RolloutPhase::Ramp => {}
        }
        let began_on_old = match last {
            Some(side) => side == VersionSide::Base,
            None => self.pool.ongoing().contains(&conversation_mark(point)),
        };
        let pinned = began_on_old && self.plan.pins_old(self.elapsed(now));
        let has_recent_exchange = self
            .exchanged_at
            .is_some_and(|at| now.since(at) < MAX_EXCHANGE_AGE);
        let moves = !pinned && has_recent_exchange && point < self.plan.share(phase);
        if last == Some(VersionSide::Target) || moves {
            VersionSide::Target
        } else {
            VersionSide::Base
        }
    }

    /// Whether a request that last failed at version `failed` is sent to an old version instead of the target.
    pub fn avoids_target(&self, failed: Option<&VersionName>) -> bool {
        let avoids_target =
            self.phase.is_none_or(RolloutPhase::retries_on_old_version) || self.harm.is_some();
        avoids_target && failed == Some(&self.order.target)
    }

    /// Counts a send to a version of the service.
    pub fn record_send(&mut self, side: VersionSide) {
        match side {
            VersionSide::Target => self.own.target_sends += 1,
            VersionSide::Base => self.own.base_sends += 1,
        }
    }

    /// Counts one aspect of an answer.
    pub fn count(
        &mut self,
        class: &str,
        side: VersionSide,
        aspect: AnswerAspect,
        quality: AnswerQuality,
    ) {
        self.own.record(class, side, aspect, quality);
    }

    /// Counts the time of an answer, unless nothing is known to compare it with. With all traffic a new version has more load than the
    /// old ones had, so that times are compared only before.
    pub(super) fn count_time(
        &mut self,
        class: &str,
        side: VersionSide,
        aspect: AnswerAspect,
        rated: RatedTime,
    ) {
        let Some(ratio) = rated.ratio else {
            return;
        };
        match self.phase {
            Some(RolloutPhase::Full) => self.own.record(class, side, aspect, rated.quality),
            _ => self
                .own
                .record_time(class, side, aspect, ratio, rated.quality),
        }
    }

    /// Pools what was counted, and tests it after an answer of the new version; returns whether it shows harm for the first time.
    pub fn test_answer(&mut self, side: VersionSide, now: MonotonicTime) -> bool {
        self.pool.merge(&self.own, now);
        side == VersionSide::Target && self.test_for_harm()
    }

    /// Whether ongoing conversations are to be reported: as long as the new version has no traffic here.
    pub fn reports_ongoing(&self) -> bool {
        self.phase
            .is_none_or(|phase| phase == RolloutPhase::Announced)
    }

    /// Adds ongoing conversations with these points to this router's row.
    pub fn add_ongoing(&mut self, points: Vec<f64>, now: MonotonicTime) {
        self.own
            .ongoing
            .extend(points.into_iter().map(conversation_mark));
        self.pool.merge(&self.own, now);
    }

    /// Marks of the conversations that routers reported as ongoing.
    pub fn ongoing(&self) -> &BTreeSet<u32> {
        self.pool.ongoing()
    }

    /// This router's current row, to be sent to the other routers.
    pub fn own_row(&mut self, upstreams: &UpstreamDirectory, now: MonotonicTime) -> EvidenceRow {
        let RolloutOrder {
            service, target, ..
        } = &self.order;
        self.own.old_in_flight = upstreams.in_flight_except(service, target);
        self.own.phase = self.phase;
        self.own.elapsed_ms = self.elapsed(now).as_millis() as u64;
        self.pool.merge(&self.own, now);
        self.own.clone()
    }

    /// Merges rows that other routers appended to the store.
    pub fn merge(&mut self, rows: Vec<EvidenceRow>, now: MonotonicTime) {
        for row in rows {
            let started_at = now.before(Duration::from_millis(row.elapsed_ms));
            self.started_at = self.started_at.min(started_at);
            self.pool.merge(&row, now);
        }
        self.exchanged_at = Some(now);
        self.test_for_harm();
    }

    /// Merges the row of a router that syncs from this one.
    pub fn merge_client_row(&mut self, row: EvidenceRow, now: MonotonicTime) {
        self.pool.merge(&row, now);
        self.clients.insert(row.router.clone(), row);
        self.test_for_harm();
    }

    /// Rows of the routers that sync from this one, in the order of their names.
    pub fn client_rows(&self) -> impl Iterator<Item = &EvidenceRow> {
        self.clients.values()
    }

    /// Answer counts over the fleet, by request class.
    pub fn class_totals(&self) -> BTreeMap<String, ClassCounts> {
        self.pool.class_totals()
    }

    /// Times of answers over the fleet, by request class.
    pub fn time_totals(&self) -> BTreeMap<String, TimeSpread> {
        self.pool.time_totals()
    }

    /// Time since the roll-out started.
    pub fn elapsed(&self, now: MonotonicTime) -> Duration {
        now.since(self.started_at)
    }

    /// Applies the fleet's counts and the elapsed time from the router that this one syncs from.
    pub fn apply_pooled(
        &mut self,
        classes: BTreeMap<String, ClassCounts>,
        times: BTreeMap<String, TimeSpread>,
        ongoing: BTreeSet<u32>,
        elapsed: Duration,
        now: MonotonicTime,
    ) {
        self.started_at = self.started_at.min(now.before(elapsed));
        self.pool.join_reported_totals(classes, times);
        self.pool.add_ongoing(ongoing);
        self.exchanged_at = Some(now);
        self.test_for_harm();
    }

    /// Phase in force, as it is stored; `None` while no phase is known.
    pub fn status(&self) -> Option<RolloutStatus> {
        Some(RolloutStatus {
            order: self.offset(),
            target: self.order.target.clone(),
            phase: self.phase?,
            canary_share: self.canary_share(),
        })
    }

    /// Time limit and shares.
    pub fn plan(&self) -> RolloutPlan {
        self.plan
    }

    /// Fraction of the conversations that the first phase moves to the target; 0 until a phase is known.
    pub fn canary_share(&self) -> f64 {
        self.plan.canary_share
    }

    /// Enters a phase stored by this or another router, unless it may not follow the present one.
    pub fn enter(&mut self, phase: RolloutPhase, canary_share: f64, now: MonotonicTime) {
        self.plan.canary_share = canary_share;
        if self.phase.is_some_and(|current| !current.may_become(phase)) {
            return;
        }
        spdlog::info!("roll-out phase", kv: {
            service = self.order.service.as_str(),
            target = self.order.target.as_str(),
            phase:? = phase,
            elapsed_ms = self.elapsed(now).as_millis() as u64,
            evidence = self.evidence_text(),
            exposed = self.pool.sends().0,
            harm = self.harm.as_deref().unwrap_or_default(),
        });
        self.phase = Some(phase);
        self.phase_started_at = now;
    }

    /// Answers by class: bad and all of the new version, bad and all of the old ones.
    fn evidence_text(&self) -> String {
        let classes = self.pool.class_totals().into_iter();
        let classes = classes.map(|(class, counts)| {
            let (target, base) = (counts.target_answers(), counts.base_answers());
            format!(
                "{class} {}/{target} {}/{base}",
                counts.target_bad, counts.base_bad
            )
        });
        classes.collect::<Vec<_>>().join(", ")
    }

    /// The phase that the roll-out should move to now; `None` while the present one continues.
    pub fn next_phase(&self, bound: &ExposureBound, now: MonotonicTime) -> Option<RolloutPhase> {
        let phase = self.phase?;
        if phase.is_final() {
            return None;
        }
        if self.harm.is_some() {
            return Some(RolloutPhase::Reverted);
        }
        self.plan.next_phase(&self.plan_input(phase, now), bound)
    }

    /// Time until the next phase is due if no harm is found; `None` while no phase is known.
    pub fn next_phase_in(&self, bound: &ExposureBound, now: MonotonicTime) -> Option<Duration> {
        let input = self.plan_input(self.phase?, now);
        Some(self.plan.next_phase_in(&input, bound))
    }

    fn plan_input(&self, phase: RolloutPhase, now: MonotonicTime) -> PlanInput {
        let (exposed, requests) = self.pool.sends();
        PlanInput {
            phase,
            elapsed: self.elapsed(now),
            in_phase: now.since(self.phase_started_at),
            answers: self.pool.target_answers(),
            is_proven: self.pool.is_proven(),
            exposed,
            requests,
            old_in_flight: self.pool.old_in_flight(now.before(MAX_ROW_AGE)),
        }
    }

    /// Whether the roll-out has ended.
    pub fn is_final(&self) -> bool {
        self.phase.is_some_and(RolloutPhase::is_final)
    }

    /// Runs the sequential tests; returns whether they find harm for the first time.
    fn test_for_harm(&mut self) -> bool {
        if self.harm.is_some() {
            return false;
        }
        self.harm = self.pool.detect_harm();
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
