//! Cascades: start stage, acceptance of answers, pooled pass rates.

use ferry_decisions::cascade::{
    AnswerVerdict, CascadeQuery, ChoiceReason, PassDelta, PassPool, RatingHealth, RatingMonitor,
    RatingOutcome, StageChoice, StageEntry, StageEstimate, StageKey, judge_answer, rating_wait_ms,
};
use ferry_decisions::guard::RouterId;
use ferry_decisions::names::{HostName, Incarnation};
use ferry_decisions::time::UnixMillis;
use proptest::prelude::*;
use uuid::Uuid;

const HALF_LIFE_MS: u64 = 600_000;

fn stages(cheap_pass: f64) -> [StageEstimate; 2] {
    [
        StageEstimate {
            cost: 1.0,
            first_pass: cheap_pass,
            escalated_pass: cheap_pass,
            latency_ms: 500,
        },
        StageEstimate {
            cost: 10.0,
            first_pass: 0.98,
            escalated_pass: 0.9,
            latency_ms: 2_000,
        },
    ]
}

fn query(stages: &[StageEstimate]) -> CascadeQuery<'_> {
    CascadeQuery {
        stages,
        idempotent: true,
        time_left_ms: Some(10_000),
        health: RatingHealth::Live,
        rating_ms: 200,
    }
}

fn choose(query: &CascadeQuery<'_>) -> StageChoice {
    StageChoice::compute(query).expect("there are stages")
}

fn router(index: u128) -> RouterId {
    RouterId {
        host: HostName::new(&format!("router-{index}")),
        incarnation: Incarnation(Uuid::from_u128(index)),
    }
}

fn key(entry: StageEntry) -> StageKey {
    StageKey {
        cascade: "letters".into(),
        class: "triage".into(),
        version: "small-1".into(),
        entry,
    }
}

fn first_rate(pool: &PassPool, now: u64) -> f64 {
    let now = UnixMillis(now);
    pool.rates(&"letters".into(), &"triage".into(), &"small-1".into(), now)
        .0
}

#[test]
fn the_start_stage_has_the_least_expected_cost() {
    let easy = stages(0.6);
    let choice = choose(&query(&easy));
    assert_eq!((choice.stage, choice.may_escalate), (0, true));
    let hard = stages(0.05);
    let choice = choose(&query(&hard));
    assert_eq!((choice.stage, choice.may_escalate), (1, false));
    assert_eq!(choice.reason, ChoiceReason::LeastCost);
}

#[test]
fn a_deadline_too_near_for_two_stages_gets_one() {
    let stages = stages(0.6);
    let near = CascadeQuery {
        time_left_ms: Some(2_500),
        ..query(&stages)
    };
    assert_eq!(
        (choose(&near).stage, choose(&near).may_escalate),
        (1, false)
    );
    let nearer = CascadeQuery {
        time_left_ms: Some(600),
        ..query(&stages)
    };
    assert_eq!(choose(&nearer).stage, 0);
    assert_eq!(choose(&nearer).reason, ChoiceReason::DeadlineNear);
}

#[test]
fn a_request_that_is_not_idempotent_never_escalates() {
    let doubtful = stages(0.6);
    let once = CascadeQuery {
        idempotent: false,
        ..query(&doubtful)
    };
    let choice = choose(&once);
    assert_eq!((choice.stage, choice.may_escalate), (1, false));
    let rating = RatingOutcome::Score(0.0);
    let verdict = judge_answer(&doubtful, 1, choice, rating, 0.8, None);
    assert_eq!(verdict, AnswerVerdict::AcceptBelowTarget);
    let trusted = stages(0.95);
    let once = CascadeQuery {
        idempotent: false,
        ..query(&trusted)
    };
    assert_eq!(choose(&once).stage, 0);
    let verdict = judge_answer(&trusted, 0, choose(&once), rating, 0.8, None);
    assert_eq!(verdict, AnswerVerdict::AcceptBelowTarget);
}

#[test]
fn without_ratings_the_trusted_or_the_best_stage_answers() {
    for health in [RatingHealth::Late, RatingHealth::Down] {
        for (pass, stage) in [(0.6, 1), (0.95, 0)] {
            let stages = stages(pass);
            let choice = choose(&CascadeQuery {
                health,
                ..query(&stages)
            });
            assert_eq!((choice.stage, choice.may_escalate), (stage, false));
            assert_eq!(rating_wait_ms(&stages, stage, choice, None), 0);
        }
    }
}

#[test]
fn a_bad_or_missing_rating_escalates_while_there_is_time() {
    let stages = stages(0.6);
    let choice = choose(&query(&stages));
    let judge = |rating, left| judge_answer(&stages, 0, choice, rating, 0.8, Some(left));
    assert_eq!(
        judge(RatingOutcome::Score(0.8), 9_000),
        AnswerVerdict::Accept
    );
    assert_eq!(
        judge(RatingOutcome::Score(0.7), 9_000),
        AnswerVerdict::Escalate(1)
    );
    assert_eq!(
        judge(RatingOutcome::Missing, 9_000),
        AnswerVerdict::Escalate(1)
    );
    assert_eq!(
        judge(RatingOutcome::Score(0.7), 1_000),
        AnswerVerdict::AcceptBelowTarget
    );
    assert_eq!(
        judge(RatingOutcome::Missing, 1_000),
        AnswerVerdict::AcceptUnrated
    );
}

#[test]
fn an_answer_waits_for_its_rating_only_as_long_as_the_next_stage_fits() {
    let stages = stages(0.6);
    let choice = choose(&query(&stages));
    assert_eq!(rating_wait_ms(&stages, 0, choice, Some(2_300)), 300);
    assert_eq!(rating_wait_ms(&stages, 0, choice, Some(1_000)), 0);
    assert_eq!(rating_wait_ms(&stages, 1, choice, Some(9_000)), 0);
}

#[test]
fn pass_rates_return_to_the_prior() {
    let mut pool = PassPool::new(router(1));
    for _ in 0..40 {
        pool.record(&key(StageEntry::First), false, UnixMillis(0));
    }
    assert!(first_rate(&pool, 0) < 0.05);
    assert!(first_rate(&pool, 10 * HALF_LIFE_MS) > 0.45);
}

#[test]
fn escalated_requests_have_a_separate_pass_rate() {
    let mut pool = PassPool::new(router(1));
    let now = UnixMillis(0);
    for _ in 0..40 {
        pool.record(&key(StageEntry::First), true, now);
        pool.record(&key(StageEntry::Escalated), false, now);
    }
    let (first, escalated) =
        pool.rates(&"letters".into(), &"triage".into(), &"small-1".into(), now);
    assert!(first > 0.9 && escalated < 0.2);
}

#[test]
fn the_monitor_detects_late_missing_and_recovered_ratings() {
    let mut monitor = RatingMonitor::default();
    (0..50).for_each(|_| monitor.record_rating(5_000));
    assert_eq!(monitor.health(2_000), RatingHealth::Late);
    (0..10).for_each(|_| monitor.record_missing());
    assert_eq!(monitor.health(2_000), RatingHealth::Down);
    (0..50).for_each(|_| monitor.record_rating(100));
    assert_eq!(monitor.health(2_000), RatingHealth::Live);
}

#[test]
fn rows_with_invalid_weights_are_ignored() {
    let mut source = PassPool::new(router(1));
    source.record(&key(StageEntry::First), true, UnixMillis(0));
    let mut delta = source.delta_since(0);
    delta.rows[0].passed = f64::NAN;
    let mut pool = PassPool::new(router(2));
    pool.merge(&delta);
    assert_eq!(pool.delta_since(0), PassDelta::default());
}

proptest! {
    #[test]
    fn rows_give_the_same_pool_in_any_order_and_number(
        answers in prop::collection::vec((0..3usize, any::<bool>(), 0..100_000u64), 1..40),
        order in Just((0..6usize).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let mut pools: Vec<PassPool> = (0..3).map(|index| PassPool::new(router(index))).collect();
        let mut deltas = Vec::new();
        for half in answers.chunks(answers.len().div_ceil(2)) {
            for (index, passed, at) in half {
                pools[*index].record(&key(StageEntry::First), *passed, UnixMillis(*at));
            }
            deltas.extend(pools.iter().map(|pool| pool.delta_since(0)));
        }
        let mut forward = PassPool::new(router(9));
        let mut shuffled = PassPool::new(router(9));
        deltas.iter().for_each(|delta| forward.merge(delta));
        let mixed = order.iter().chain(&order).filter_map(|index| deltas.get(*index));
        mixed.for_each(|delta| shuffled.merge(delta));
        prop_assert_eq!(forward.delta_since(0), shuffled.delta_since(0));
    }
}
