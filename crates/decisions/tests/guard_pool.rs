//! Tests of the roll-out guard: merging of counts, the limit under any interleaving, and the
//! sequential test.

use ferry_decisions::config::{RolloutSpec, TripPolicy};
use ferry_decisions::guard::{
    AnswerOutcome, FleetView, GuardCounts, GuardDecision, GuardDelta, GuardPolicy, GuardPool,
    RouterId, SequentialTest,
};
use ferry_decisions::names::{HostName, Incarnation, VersionName, WorkspaceName};
use ferry_decisions::time::UnixMillis;
use proptest::prelude::*;
use uuid::Uuid;

const EPOCH: u64 = 1;
const LIMIT: u32 = 7;

fn rollout(unrated_limit: u32) -> RolloutSpec {
    RolloutSpec {
        epoch: EPOCH,
        unrated_limit,
        tolerated_bad: 0.05,
        stopping_bad: 0.2,
        on_trip: TripPolicy::Withdraw,
    }
}

fn router(index: usize) -> RouterId {
    RouterId {
        host: HostName::new(&format!("router-{index}")),
        incarnation: Incarnation(Uuid::from_u128(index as u128)),
    }
}

fn candidate() -> VersionName {
    VersionName::new("triage-2")
}

fn workspace(index: usize) -> WorkspaceName {
    WorkspaceName::new(&format!("clinic-{index}"))
}

fn policy_without_ramp() -> GuardPolicy {
    GuardPolicy {
        ramp_start: u32::MAX,
        ..GuardPolicy::default()
    }
}

fn pool(index: usize) -> GuardPool {
    GuardPool::new(router(index), policy_without_ramp())
}

fn serve(pool: &mut GuardPool, limit: u32, fleet: &[RouterId]) -> GuardDecision {
    let view = FleetView {
        routers: fleet,
        complete: true,
    };
    let decision = pool.may_serve(&candidate(), &rollout(limit), view);
    if decision == GuardDecision::Serve {
        pool.record_served(&candidate(), EPOCH, &workspace(0));
    }
    decision
}

fn rate(pool: &mut GuardPool, outcome: AnswerOutcome) {
    pool.record_outcome(&candidate(), EPOCH, &workspace(0), outcome);
}

fn evaluate(pool: &mut GuardPool) -> bool {
    pool.evaluate(&candidate(), &rollout(LIMIT), 10, UnixMillis(1))
        .is_some()
}

/// Merges the full state of `from` into `to`.
fn send(pools: &mut [GuardPool], from: usize, to: usize) {
    let delta = pools[from].delta_since(0);
    pools[to].merge(&delta);
}

/// Step of a simulated fleet. The numbers are indexes of routers, but for the length of the list that
/// is read and the revision from which changes are sent.
#[derive(Debug, Clone)]
enum Step {
    Join(usize),
    ReadList(usize, usize),
    Serve(usize),
    Rate(usize, AnswerOutcome),
    Send(usize, usize, u64),
    Leave(usize),
}

const ROUTERS: usize = 5;

fn step() -> impl Strategy<Value = Step> {
    let index = 0..ROUTERS;
    let outcome = prop_oneof![
        Just(AnswerOutcome::Good),
        Just(AnswerOutcome::Bad),
        Just(AnswerOutcome::GivenUp),
        Just(AnswerOutcome::Unanswered),
    ];
    prop_oneof![
        2 => index.clone().prop_map(Step::Join),
        4 => (index.clone(), 0..=ROUTERS).prop_map(|(r, length)| Step::ReadList(r, length)),
        12 => index.clone().prop_map(Step::Serve),
        3 => (index.clone(), outcome).prop_map(|(r, outcome)| Step::Rate(r, outcome)),
        12 => (index.clone(), index.clone(), 0..30u64).prop_map(|(a, b, s)| Step::Send(a, b, s)),
        1 => index.prop_map(Step::Leave),
    ]
}

/// Routers that join a host list, which each router reads with its own delay.
struct Fleet {
    pools: Vec<GuardPool>,
    /// Routers in the order in which they joined.
    list: Vec<usize>,
    /// Number of list entries that each router has read.
    read: Vec<usize>,
}

impl Fleet {
    fn new() -> Self {
        Self {
            pools: (0..ROUTERS).map(pool).collect(),
            list: Vec::new(),
            read: vec![0; ROUTERS],
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Join(r) if !self.list.contains(&r) => self.list.push(r),
            Step::Join(_) => {}
            Step::ReadList(r, length) => {
                self.read[r] = self.read[r].max(length.min(self.list.len()));
            }
            Step::Serve(r) => self.serve(r),
            Step::Rate(r, outcome) => {
                let usage = self.pools[r].usage(&candidate(), EPOCH);
                if usage > 0 {
                    rate(&mut self.pools[r], outcome);
                }
            }
            Step::Send(from, to, since) => {
                let delta = self.pools[from].delta_since(since);
                self.pools[to].merge(&delta);
            }
            Step::Leave(r) => {
                self.pools[r].leave();
            }
        }
    }

    fn serve(&mut self, r: usize) {
        let known = &self.list[..self.read[r]];
        let routers: Vec<RouterId> = known.iter().map(|index| router(*index)).collect();
        let view = FleetView {
            routers: &routers,
            complete: known.contains(&r),
        };
        let decision = self.pools[r].may_serve(&candidate(), &rollout(LIMIT), view);
        if decision == GuardDecision::Serve {
            self.pools[r].record_served(&candidate(), EPOCH, &workspace(r));
        }
    }

    fn usage(&self) -> u64 {
        let usages = self
            .pools
            .iter()
            .map(|pool| pool.usage(&candidate(), EPOCH));
        usages.sum()
    }
}

fn counts() -> impl Strategy<Value = GuardCounts> {
    (0..9u64, 0..9u64, 0..9u64, 0..9u64, 0..9u64).prop_map(
        |(served, good, bad, given_up, unanswered)| GuardCounts {
            served,
            good,
            bad,
            given_up,
            unanswered,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn joins_of_counts_form_a_semilattice(a in counts(), b in counts(), c in counts()) {
        let join = |x: GuardCounts, y: GuardCounts| { let mut z = x; z.join(&y); z };
        prop_assert_eq!(join(a, b), join(b, a));
        prop_assert_eq!(join(join(a, b), c), join(a, join(b, c)));
        prop_assert_eq!(join(a, a), a);
    }

    #[test]
    fn the_fleet_never_exceeds_the_limit(steps in prop::collection::vec(step(), 1..300)) {
        let mut fleet = Fleet::new();
        for step in &steps {
            fleet.apply(step);
            prop_assert!(fleet.usage() <= u64::from(LIMIT), "after {:?}", step);
        }
    }

    #[test]
    fn deltas_give_the_same_pool_in_any_order_and_number(
        steps in prop::collection::vec(step(), 1..80),
        order in Just((0..ROUTERS).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let mut fleet = Fleet::new();
        steps.iter().for_each(|step| fleet.apply(step));
        let deltas: Vec<GuardDelta> = fleet.pools.iter().map(|p| p.delta_since(0)).collect();
        let mut forward = pool(ROUTERS);
        let mut shuffled = pool(ROUTERS);
        deltas.iter().for_each(|delta| forward.merge(delta));
        for index in order.iter().chain(&order) {
            shuffled.merge(&deltas[*index]);
        }
        prop_assert_eq!(forward.delta_since(0), shuffled.delta_since(0));
    }
}

#[test]
fn a_complete_fleet_uses_the_whole_limit() {
    let fleet: Vec<RouterId> = (0..3).map(router).collect();
    let mut pools: Vec<GuardPool> = (0..3).map(pool).collect();
    for pool in &mut pools {
        assert_eq!(serve(pool, LIMIT, &fleet), GuardDecision::AwaitingParts);
    }
    for (from, to) in [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)] {
        send(&mut pools, from, to);
    }
    let mut served = 0;
    for pool in &mut pools {
        while serve(pool, LIMIT, &fleet) == GuardDecision::Serve {
            served += 1;
        }
    }
    assert_eq!(served, LIMIT);
}

#[test]
fn a_new_router_waits_until_the_others_yield() {
    let mut pools: Vec<GuardPool> = (0..2).map(pool).collect();
    let alone = [router(0)];
    for _ in 0..LIMIT {
        assert_eq!(serve(&mut pools[0], LIMIT, &alone), GuardDecision::Serve);
    }
    let both = [router(0), router(1)];
    serve(&mut pools[1], LIMIT, &both);
    send(&mut pools, 1, 0);
    send(&mut pools, 0, 1);
    assert_eq!(
        serve(&mut pools[1], LIMIT, &both),
        GuardDecision::AwaitingParts
    );
    for _ in 0..4 {
        rate(&mut pools[0], AnswerOutcome::Good);
    }
    send(&mut pools, 0, 1);
    assert_eq!(serve(&mut pools[1], LIMIT, &both), GuardDecision::Serve);
}

#[test]
fn the_part_of_a_dead_router_is_shared_only_after_it_is_reclaimed() {
    let mut pools: Vec<GuardPool> = (0..2).map(pool).collect();
    let both = [router(0), router(1)];
    serve(&mut pools[1], LIMIT, &both);
    send(&mut pools, 1, 0);
    let served = |pool: &mut GuardPool| {
        let mut served = 0;
        while serve(pool, LIMIT, &both[..1]) == GuardDecision::Serve {
            served += 1;
        }
        served
    };
    assert_eq!(served(&mut pools[0]), 4);
    pools[0].reclaim_part(&router(1));
    assert_eq!(served(&mut pools[0]), 3);
}

#[test]
fn a_leaving_router_frees_its_unused_part() {
    let mut pools: Vec<GuardPool> = (0..2).map(pool).collect();
    let both = [router(0), router(1)];
    serve(&mut pools[1], LIMIT, &both);
    assert!(pools[1].leave());
    send(&mut pools, 1, 0);
    let mut served = 0;
    while serve(&mut pools[0], LIMIT, &both) == GuardDecision::Serve {
        served += 1;
    }
    assert_eq!(served, LIMIT);
}

#[test]
fn missing_ratings_stop_the_exposure_at_the_limit() {
    let mut pool = pool(0);
    let alone = [router(0)];
    let mut served = 0;
    for _ in 0..100 {
        if serve(&mut pool, LIMIT, &alone) == GuardDecision::Serve {
            served += 1;
            rate(&mut pool, AnswerOutcome::GivenUp);
        }
    }
    assert_eq!(served, LIMIT);
}

#[test]
fn the_ramp_grows_with_good_answers() {
    let mut pool = GuardPool::new(router(0), GuardPolicy::default());
    let alone = [router(0)];
    assert_eq!(serve(&mut pool, LIMIT, &alone), GuardDecision::Serve);
    assert_eq!(serve(&mut pool, LIMIT, &alone), GuardDecision::CapReached);
    rate(&mut pool, AnswerOutcome::Good);
    assert_eq!(serve(&mut pool, LIMIT, &alone), GuardDecision::Serve);
    assert_eq!(serve(&mut pool, LIMIT, &alone), GuardDecision::Serve);
    assert_eq!(serve(&mut pool, LIMIT, &alone), GuardDecision::CapReached);
}

#[test]
fn disjoint_evidence_trips_once_it_is_pooled() {
    let mut pools: Vec<GuardPool> = (0..4).map(pool).collect();
    for pool in &mut pools {
        pool.record_served(&candidate(), EPOCH, &workspace(0));
        rate(pool, AnswerOutcome::Bad);
        assert!(!evaluate(pool));
    }
    for from in 1..4 {
        send(&mut pools, from, 0);
    }
    assert!(evaluate(&mut pools[0]));
    send(&mut pools, 0, 1);
    let fleet = [router(1)];
    assert_eq!(serve(&mut pools[1], LIMIT, &fleet), GuardDecision::Tripped);
    assert!(pools[1].tripped(&candidate(), EPOCH).is_some());
    assert!(pools[1].tripped(&candidate(), EPOCH + 1).is_none());
    assert_eq!(pools[1].trip_records().len(), 1);
}

#[test]
fn a_decision_between_merge_and_evaluate_does_not_skip_the_test() {
    let mut pools: Vec<GuardPool> = (0..2).map(pool).collect();
    (0..9).for_each(|_| rate(&mut pools[0], AnswerOutcome::Bad));
    send(&mut pools, 0, 1);
    serve(&mut pools[1], LIMIT, &[router(1)]);
    assert!(evaluate(&mut pools[1]));
}

#[test]
fn the_part_shrinks_as_the_evidence_grows() {
    let mut pool = GuardPool::new(router(0), GuardPolicy::default());
    let alone = [router(0)];
    let answer = |pool: &mut GuardPool, outcome| {
        pool.record_served(&candidate(), EPOCH, &workspace(0));
        rate(pool, outcome);
    };
    (0..20).for_each(|_| answer(&mut pool, AnswerOutcome::Good));
    let served = |pool: &mut GuardPool| {
        let mut served = 0;
        while serve(pool, 20, &alone) == GuardDecision::Serve {
            served += 1;
        }
        (0..served).for_each(|_| rate(pool, AnswerOutcome::Unanswered));
        served
    };
    assert_eq!(served(&mut pool), 20);
    (0..5).for_each(|_| answer(&mut pool, AnswerOutcome::Bad));
    assert!(!evaluate(&mut pool));
    assert!(served(&mut pool) < 15);
}

#[test]
fn a_version_bad_for_one_workspace_trips() {
    let mut pool = pool(0);
    for _ in 0..400 {
        pool.record_outcome(&candidate(), EPOCH, &workspace(0), AnswerOutcome::Good);
    }
    assert!(!evaluate(&mut pool));
    let trips = (0..12).any(|_| {
        pool.record_outcome(&candidate(), EPOCH, &workspace(1), AnswerOutcome::Bad);
        evaluate(&mut pool)
    });
    assert!(trips);
}

#[test]
fn a_change_after_many_good_answers_is_found() {
    let bound = rollout(LIMIT);
    let mut with_change = SequentialTest::default();
    let mut without = SequentialTest::default();
    let bad_until_trip = |test: &mut SequentialTest, detect: bool| {
        test.observe(1, 0, &bound, detect);
        (1..2_000u64).for_each(|good| test.observe(good, 0, &bound, detect));
        (1..500u64).find(|bad| {
            test.observe(2_000, *bad, &bound, detect);
            test.trips(0.0025)
        })
    };
    let found = bad_until_trip(&mut with_change, true).expect("the change is found");
    assert!(found <= 15, "{found} bad answers");
    assert!(bad_until_trip(&mut without, false).is_none_or(|bad| bad > 100));
}

#[test]
fn retain_removes_the_trips_of_an_epoch() {
    let mut pool = pool(0);
    (0..9).for_each(|_| rate(&mut pool, AnswerOutcome::Bad));
    assert!(evaluate(&mut pool));
    pool.retain(|_, epoch| epoch != EPOCH);
    assert!(pool.tripped(&candidate(), EPOCH).is_none());
}
