//! Tests of roll-outs: traffic shares, phase changes, and the sequential tests over pooled counts.

use std::collections::BTreeMap;
use std::time::Duration;

use ferry_decisions::rollout::{
    AnswerAspect, AnswerQuality, ClassCounts, EvidencePool, EvidenceRow, ExposureBound, PlanInput,
    RolloutPhase, RolloutPlan, VersionSide,
};
use ferry_decisions::time::MonotonicTime;
use proptest::prelude::*;

const DURATION: Duration = Duration::from_secs(24);
/// Number of seeds over which false and late stops are counted.
const SEEDS: u64 = 500;
/// Share of bad answers of a good version.
const USUAL_BAD_SHARE: f64 = 0.02;

fn plan() -> RolloutPlan {
    RolloutPlan {
        duration: DURATION,
        canary_share: 0.05,
    }
}

/// Requests a second for the service.
const RATE: f64 = 70.0;

fn bound() -> ExposureBound {
    ExposureBound {
        share: 0.15,
        tolerance: 30.0,
    }
}

fn input(phase: RolloutPhase, elapsed_s: f64) -> PlanInput {
    let requests = RATE * elapsed_s;
    PlanInput {
        phase,
        elapsed: Duration::from_secs_f64(elapsed_s),
        in_phase: Duration::from_secs(10),
        answers: 1_000,
        is_proven: true,
        exposed: (requests * plan().canary_share) as u64,
        requests: requests as u64,
        old_in_flight: 0,
    }
}

fn row(router: &str, good: u64, bad: u64) -> EvidenceRow {
    let counts = ClassCounts {
        target_good: good,
        target_bad: bad,
        ..ClassCounts::default()
    };
    EvidenceRow {
        router: router.to_owned(),
        classes: [("letters".to_owned(), counts)].into_iter().collect(),
        elapsed_ms: good + bad,
        ..EvidenceRow::default()
    }
}

/// Adds up to `answers` answers to a pool one by one; returns the number of bad answers at which the
/// pool finds harm, if it does.
fn bad_until_stop(seed: u64, answers: u64, bad_share: f64) -> Option<u64> {
    let mut pool = EvidencePool::default();
    let mut counts = ClassCounts::default();
    let mut state = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
    for number in 0..answers {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        let point = (state >> 11) as f64 / (1_u64 << 53) as f64;
        let is_bad = point < bad_share;
        let quality = match is_bad {
            true => AnswerQuality::Bad,
            false => AnswerQuality::Good,
        };
        counts.add(VersionSide::Target, quality);
        let row = EvidenceRow {
            router: "a".to_owned(),
            classes: [("letters".to_owned(), counts)].into_iter().collect(),
            elapsed_ms: number,
            ..EvidenceRow::default()
        };
        pool.merge(&row, MonotonicTime(number as i64));
        if pool.detect_harm().is_some() {
            return Some(counts.target_bad);
        }
    }
    None
}

/// Number of requests that a version gets until the deadline if no harm is found, and the last phase.
fn exposed_at_deadline(
    duration: Duration,
    rate: f64,
    bound: &ExposureBound,
) -> (f64, RolloutPhase) {
    const STEP: Duration = Duration::from_millis(50);
    let plan = RolloutPlan {
        duration,
        canary_share: RolloutPlan::canary_share(duration, bound, rate),
    };
    let (mut phase, mut phase_began) = (RolloutPhase::Canary, Duration::ZERO);
    let (mut exposed, mut requests) = (0.0, 0.0);
    let mut elapsed = Duration::ZERO;
    while elapsed < duration {
        elapsed += STEP;
        let sent = rate * STEP.as_secs_f64();
        requests += sent;
        exposed += sent * plan.share(phase);
        let input = PlanInput {
            phase,
            elapsed,
            in_phase: elapsed - phase_began,
            answers: exposed as u64,
            is_proven: true,
            exposed: exposed as u64,
            requests: requests as u64,
            old_in_flight: 5,
        };
        if let Some(next) = plan.next_phase(&input, bound) {
            (phase, phase_began) = (next, elapsed);
        }
    }
    (exposed, phase)
}

/// Guards against a version whose fault does not show before the deadline: it got four times what is allowed.
#[test]
fn a_version_without_a_sign_of_harm_stays_within_the_bound_and_is_completed() {
    for (seconds, rate, share) in [
        (8, 170.0, 0.15),
        (15, 70.0, 0.15),
        (24, 70.0, 0.15),
        (15, 18.0, 0.15),
        (24, 100.0, 0.15),
        (24, 700.0, 0.0975),
        (40, 340.0, 0.1),
    ] {
        let bound = ExposureBound { share, ..bound() };
        let duration = Duration::from_secs(seconds);
        let (exposed, phase) = exposed_at_deadline(duration, rate, &bound);
        let allowed = rate * duration.as_secs_f64() * share + bound.tolerance;
        assert!(exposed <= allowed, "{exposed} of {allowed} at {rate}/s");
        assert_eq!(phase, RolloutPhase::Completed, "{rate}/s");
    }
}

#[test]
fn the_canary_phase_lasts_until_a_bad_version_may_get_all_requests_that_are_left() {
    let plan = plan();
    let early = input(RolloutPhase::Canary, 12.5);
    assert_eq!(plan.next_phase(&early, &bound()), None);
    let left = plan.next_phase_in(&early, &bound());
    let later = input(RolloutPhase::Canary, 12.5 + left.as_secs_f64() + 0.1);
    assert_eq!(plan.next_phase(&later, &bound()), Some(RolloutPhase::Full));
    let too_few_answers = PlanInput {
        answers: 3,
        ..later
    };
    assert_eq!(plan.next_phase(&too_few_answers, &bound()), None);
}

/// Guards against a fault that needs load: a canary over all of its upstreams gave each of them a tenth of the usual load.
#[test]
fn upstreams_of_a_canary_have_about_the_load_of_old_ones() {
    for (share, upstreams) in [(0.08, 18), (0.1, 12), (0.02, 90), (0.15, 12)] {
        let plan = RolloutPlan {
            canary_share: share,
            ..plan()
        };
        let used = plan.target_upstreams(RolloutPhase::Canary, upstreams, upstreams);
        let load = share / used as f64;
        let usual = (1.0 - share) / upstreams as f64;
        assert!(
            (0.6..1.6).contains(&(load / usual)),
            "{used} of {upstreams}"
        );
    }
    let few = plan().target_upstreams(RolloutPhase::Canary, 3, 3);
    assert_eq!(few, 1);
    assert_eq!(plan().target_upstreams(RolloutPhase::Full, 12, 12), 12);
    assert_eq!(plan().target_upstreams(RolloutPhase::Completed, 12, 0), 12);
}

/// Guards against a canary that begins before routers know which conversations are ongoing at the others.
#[test]
fn a_version_gets_no_traffic_until_the_ongoing_conversations_are_exchanged() {
    let announced = input(RolloutPhase::Announced, 1.0);
    assert!(plan().share(RolloutPhase::Announced) <= 0.0);
    assert_eq!(plan().next_phase(&announced, &bound()), None);
    let left = plan().next_phase_in(&announced, &bound());
    let due = input(RolloutPhase::Announced, 1.0 + left.as_secs_f64());
    assert_eq!(
        plan().next_phase(&due, &bound()),
        Some(RolloutPhase::Canary)
    );
    assert!(RolloutPhase::Announced.may_become(RolloutPhase::Reverted));
}

#[test]
fn ongoing_conversations_of_all_routers_add_up() {
    let mut pool = EvidencePool::default();
    for (router, mark) in [("a", 7), ("b", 9), ("a", 8)] {
        let ongoing = [mark].into_iter().collect();
        pool.merge(
            &EvidenceRow {
                ongoing,
                ..row(router, 0, 0)
            },
            MonotonicTime(1),
        );
    }
    pool.add_ongoing([9, 10].into_iter().collect());
    assert_eq!(
        pool.ongoing().iter().copied().collect::<Vec<u32>>(),
        [7, 8, 9, 10]
    );
}

/// Guards against a version that is completed because too few answers speak against it.
#[test]
fn a_version_that_is_not_proven_is_reverted_at_its_deadline() {
    let unproven = PlanInput {
        is_proven: false,
        answers: 12,
        ..input(RolloutPhase::Canary, 23.0)
    };
    assert_eq!(plan().next_phase(&unproven, &bound()), None);
    let late = PlanInput {
        elapsed: Duration::from_secs_f64(23.4),
        ..unproven
    };
    assert_eq!(
        plan().next_phase(&late, &bound()),
        Some(RolloutPhase::Reverted)
    );
}

#[test]
fn few_answers_prove_a_version_only_if_nearly_all_are_good() {
    let is_proven = |good, bad| {
        let mut pool = EvidencePool::default();
        pool.merge(&row("a", good, bad), MonotonicTime(1));
        pool.is_proven()
    };
    assert!(is_proven(8, 0));
    assert!(!is_proven(2, 0));
    assert!(is_proven(12, 1));
    assert!(!is_proven(8, 4));
    assert!(is_proven(100, 10));
    assert!(!is_proven(60, 40));
}

#[test]
fn conversations_keep_their_version_in_the_first_half_however_few_requests_there_are() {
    let few = PlanInput {
        exposed: 0,
        requests: 5,
        ..input(RolloutPhase::Canary, 12.0)
    };
    assert_eq!(plan().next_phase(&few, &bound()), None);
    let later = PlanInput {
        elapsed: Duration::from_secs_f64(12.5),
        ..few
    };
    assert_eq!(
        plan().next_phase(&later, &bound()),
        Some(RolloutPhase::Full)
    );
}

#[test]
fn completion_waits_for_old_requests_until_time_runs_out() {
    let plan = plan();
    let busy = PlanInput {
        old_in_flight: 2,
        ..input(RolloutPhase::Full, 18.0)
    };
    assert_eq!(plan.next_phase(&busy, &bound()), None);
    let drained = plan.next_phase(&input(RolloutPhase::Full, 18.0), &bound());
    assert_eq!(drained, Some(RolloutPhase::Completed));
    let late = PlanInput {
        elapsed: Duration::from_secs_f64(23.4),
        ..busy
    };
    assert_eq!(
        plan.next_phase(&late, &bound()),
        Some(RolloutPhase::Completed)
    );
}

/// Guards against a completion that does not look at what the new version answered since it got all traffic.
#[test]
fn a_version_that_is_doubted_with_all_traffic_is_reverted_at_its_deadline() {
    let doubted = PlanInput {
        is_proven: false,
        ..input(RolloutPhase::Full, 18.0)
    };
    assert_eq!(plan().next_phase(&doubted, &bound()), None);
    let late = PlanInput {
        elapsed: Duration::from_secs_f64(23.4),
        ..doubted
    };
    assert_eq!(
        plan().next_phase(&late, &bound()),
        Some(RolloutPhase::Reverted)
    );
}

#[test]
fn phases_stop_at_a_final_phase_and_never_go_back() {
    for last in [RolloutPhase::Completed, RolloutPhase::Reverted] {
        assert_eq!(plan().next_phase(&input(last, 20.0), &bound()), None);
        assert!(!last.may_become(RolloutPhase::Canary));
        assert!(!last.may_become(RolloutPhase::Reverted));
    }
    assert!(!RolloutPhase::Full.may_become(RolloutPhase::Ramp));
    assert!(RolloutPhase::Canary.may_become(RolloutPhase::Reverted));
}

/// Guards against too large a canary share: at 0.049 and 340 requests a second, 8 conversations
/// changed their version in the first half of a roll-out; 3 are tolerated.
#[test]
fn the_canary_share_is_small_at_a_high_rate_and_bounded_at_a_low_one() {
    let narrow = ExposureBound {
        share: 0.0975,
        ..bound()
    };
    let high_rate = RolloutPlan::canary_share(DURATION, &narrow, 340.0);
    assert!(high_rate < 0.02, "{high_rate}");
    assert!(high_rate * 340.0 * 12.0 > 40.0, "enough answers");
    let low_rate = RolloutPlan::canary_share(DURATION, &bound(), 5.0);
    assert!(low_rate <= 0.15 && low_rate > 0.07, "{low_rate}");
}

/// Guards against moving a conversation back to the old version after a single lost answer: six
/// conversations left a good version that had all traffic; three are tolerated.
#[test]
fn a_single_failure_moves_no_conversation_back_once_all_have_moved() {
    assert!(RolloutPhase::Canary.retries_on_old_version());
    assert!(RolloutPhase::Ramp.retries_on_old_version());
    assert!(!RolloutPhase::Full.retries_on_old_version());
    assert!(!RolloutPhase::Completed.retries_on_old_version());
    assert!(RolloutPhase::Reverted.retries_on_old_version());
}

/// Guards against a false stop: once a good version had all traffic, 66 of its 750 answers were 3.5
/// times slower than those of the old version while both had traffic, which nearly stopped the
/// roll-out.
#[test]
fn the_slow_factor_is_larger_once_the_new_version_has_all_traffic() {
    let shared_traffic = RolloutPhase::Ramp.slow_factor();
    assert!(RolloutPhase::Full.slow_factor() > 1.5 * shared_traffic);
    // A version that is several times slower must be found in either phase.
    assert!(RolloutPhase::Full.slow_factor() < 8.0);
}

#[test]
fn good_versions_are_rarely_stopped_and_bad_ones_soon() {
    let false_stops =
        (0..SEEDS).filter(|seed| bad_until_stop(*seed, 400, USUAL_BAD_SHARE).is_some());
    assert!(false_stops.count() <= 5);
    for bad_share in [0.4, 0.5] {
        let stops: Vec<u64> = (0..SEEDS)
            .map(|seed| bad_until_stop(seed, 400, bad_share).expect("it is stopped"))
            .collect();
        // The operator's bound applies from the 50th bad answer on.
        assert!(
            stops.iter().all(|bad| *bad < 25),
            "{:?}",
            stops.iter().max()
        );
    }
}

/// Shares of answers that fail and of those that are slow.
#[derive(Debug, Clone, Copy)]
struct VersionQuality {
    failing: f64,
    slow: f64,
}

/// An old version that is busy: a quarter of its answers are slow, and hardly any fails.
const BUSY_OLD: VersionQuality = VersionQuality {
    failing: 0.005,
    slow: 0.25,
};
/// Number of its answers.
const OLD_ANSWERS: usize = 1_200;

/// Evidence of one roll-out, with a source of random numbers.
struct EvidenceModel {
    pool: EvidencePool,
    row: EvidenceRow,
    state: u64,
    /// Whether harm was found at any time.
    has_harm: bool,
}

impl EvidenceModel {
    /// The evidence after the answers of [`BUSY_OLD`].
    fn with_busy_old(seed: u64) -> Self {
        let mut model = Self {
            pool: EvidencePool::default(),
            row: EvidenceRow {
                router: "a".to_owned(),
                ..EvidenceRow::default()
            },
            state: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
            has_harm: false,
        };
        for _ in 0..OLD_ANSWERS {
            model.answer(VersionSide::Base, BUSY_OLD);
        }
        model
    }

    /// Adds an answer; returns whether harm is found with it.
    fn answer(&mut self, side: VersionSide, quality: VersionQuality) -> bool {
        let has_failed = self.is_drawn(quality.failing);
        self.record(side, AnswerAspect::Failure, has_failed);
        if !has_failed {
            let is_slow = self.is_drawn(quality.slow);
            self.record(side, AnswerAspect::Head, is_slow);
        }
        self.row.elapsed_ms += 50;
        let now = MonotonicTime(self.row.elapsed_ms as i64 * 1_000_000);
        self.pool.merge(&self.row, now);
        side == VersionSide::Target && self.pool.detect_harm().is_some()
    }

    fn record(&mut self, side: VersionSide, aspect: AnswerAspect, is_bad: bool) {
        let quality = match is_bad {
            true => AnswerQuality::Bad,
            false => AnswerQuality::Good,
        };
        self.row.record("letters", side, aspect, quality);
    }

    /// Number of answers after which harm is found among `answers` of the new version; `None` if it is not.
    fn answers_until_harm(&mut self, answers: usize, quality: VersionQuality) -> Option<usize> {
        (0..answers).find(|_| self.answer(VersionSide::Target, quality))
    }

    fn is_drawn(&mut self, share: f64) -> bool {
        self.uniform() < share
    }

    fn uniform(&mut self) -> f64 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        (self.state >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Guards against failures that are counted together with slowness: a version with 28 failures among 85 answers was kept beside an
/// old one that was often slow.
#[test]
fn a_version_that_fails_is_found_beside_an_old_one_that_is_often_slow() {
    let failing = VersionQuality {
        failing: 0.3,
        ..BUSY_OLD
    };
    let found = (0..SEEDS).filter(|seed| {
        EvidenceModel::with_busy_old(*seed)
            .answers_until_harm(85, failing)
            .is_some()
    });
    let found = found.count() as u64;
    assert!(found >= SEEDS * 99 / 100, "found in {found} of {SEEDS}");
}

/// Guards against good answers that outweigh the later ones: a version that turned bad late was completed.
#[test]
fn a_version_that_turns_bad_late_is_found_or_not_proven() {
    let failing = VersionQuality {
        failing: 0.3,
        ..BUSY_OLD
    };
    let kept = (0..SEEDS).filter(|seed| {
        let mut model = EvidenceModel::with_busy_old(*seed);
        let is_found = model.answers_until_harm(60, BUSY_OLD).is_some()
            || model.answers_until_harm(40, failing).is_some();
        !is_found && model.pool.is_proven()
    });
    let kept = kept.count() as u64;
    assert!(kept <= SEEDS / 100, "kept in {kept} of {SEEDS}");
}

#[test]
fn a_version_like_an_old_one_that_is_often_slow_is_rarely_stopped_and_is_proven() {
    let mut stopped = 0;
    let mut unproven = 0;
    for seed in 0..SEEDS {
        let mut model = EvidenceModel::with_busy_old(seed);
        match model.answers_until_harm(150, BUSY_OLD) {
            Some(_) => stopped += 1,
            None if !model.pool.is_proven() => unproven += 1,
            None => {}
        }
    }
    assert!(stopped <= SEEDS / 100, "{stopped} stopped");
    assert!(unproven <= SEEDS / 50, "{unproven} not proven");
}

/// Multiple of the expected time from which an answer is slow.
const SLOW_RATIO: f64 = 3.5;
/// Answers of the new version of a service with few requests.
const FEW_ANSWERS: usize = 27;
/// Answers that the canary share aims at; with fewer, those of a somewhat slower version are like those of a bad one by chance.
const CANARY_ANSWERS: usize = 60;

impl EvidenceModel {
    /// Adds an answer that took `ratio` times the expected time.
    fn answer_in(&mut self, side: VersionSide, ratio: f64) {
        let is_slow = ratio > SLOW_RATIO;
        let quality = match is_slow {
            true => AnswerQuality::Bad,
            false => AnswerQuality::Good,
        };
        self.record(side, AnswerAspect::Failure, false);
        self.row
            .record_time("letters", side, AnswerAspect::Head, ratio, quality);
        self.row.elapsed_ms += 50;
        let now = MonotonicTime(self.row.elapsed_ms as i64 * 1_000_000);
        self.pool.merge(&self.row, now);
        if side == VersionSide::Target {
            self.has_harm |= self.pool.detect_harm().is_some();
        }
    }

    /// Whether the version would be completed.
    fn is_kept(&self) -> bool {
        !self.has_harm && self.pool.is_proven()
    }

    /// A time like those of a calm old version: mostly from 0.7 to 1.5 times the expected one, one in fifty twice that.
    fn calm_ratio(&mut self) -> f64 {
        let usual = (self.uniform() - 0.5) * 1.1;
        let tail = if self.is_drawn(0.02) { 1.0 } else { 0.0 };
        (usual + tail).exp2()
    }

    /// Evidence of a calm old version, and of a new one with `answers`, of which `slow_share` take `factor` times as long.
    fn with_answers(seed: u64, answers: usize, slow_share: f64, factor: f64) -> Self {
        let mut model = Self {
            pool: EvidencePool::default(),
            row: EvidenceRow {
                router: "a".to_owned(),
                ..EvidenceRow::default()
            },
            state: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
            has_harm: false,
        };
        for _ in 0..170 {
            let ratio = model.calm_ratio();
            model.answer_in(VersionSide::Base, ratio);
        }
        for _ in 0..answers {
            let ratio = model.calm_ratio();
            let is_slow = model.is_drawn(slow_share);
            model.answer_in(
                VersionSide::Target,
                if is_slow { ratio * factor } else { ratio },
            );
        }
        model
    }
}

/// Guards against times that are cut to slow or not before they are compared: of a version that was three times slower in two of five
/// answers, 2 of 27 counted as slow beside 0 of 260, and it was completed.
#[test]
fn a_few_answers_that_are_several_times_slower_leave_a_version_unproven() {
    for factor in [3.0, 4.0, 8.0] {
        let proven = (0..SEEDS).filter(|seed| {
            let model = EvidenceModel::with_answers(*seed, FEW_ANSWERS, 0.4, factor);
            model.pool.is_proven()
        });
        let proven = proven.count() as u64;
        assert!(
            proven <= SEEDS / 100,
            "{proven} of {SEEDS} proven at {factor}"
        );
    }
}

/// Guards against slow answers that speak against a version at its deadline only: one got requests more than 5 s after its 50th.
#[test]
fn answers_that_are_several_times_slower_stop_a_version_before_the_fiftieth() {
    for factor in [3.0, 4.0, 8.0] {
        let stopped =
            (0..SEEDS).filter(|seed| EvidenceModel::with_answers(*seed, 100, 0.4, factor).has_harm);
        let stopped = stopped.count() as u64;
        assert!(
            stopped >= SEEDS * 99 / 100,
            "{stopped} of {SEEDS} stopped at {factor}"
        );
    }
}

#[test]
fn answers_that_are_somewhat_slower_stop_no_version() {
    for (slow_share, factor) in [(0.0, 1.0), (1.0, 1.4), (0.1, 4.0)] {
        let stopped = (0..SEEDS)
            .filter(|seed| EvidenceModel::with_answers(*seed, 100, slow_share, factor).has_harm);
        let stopped = stopped.count() as u64;
        assert!(
            stopped <= SEEDS / 100,
            "{stopped} of {SEEDS} stopped at {factor}"
        );
    }
}

#[test]
fn a_few_answers_like_those_of_the_old_version_prove_a_version() {
    let proven = (0..SEEDS).filter(|seed| {
        let model = EvidenceModel::with_answers(*seed, FEW_ANSWERS, 0.0, 1.0);
        model.is_kept()
    });
    let proven = proven.count() as u64;
    assert!(proven >= SEEDS * 99 / 100, "{proven} of {SEEDS} proven");
}

/// Guards against a good version that is reverted because its first upstreams are cold, or its prompts longer.
#[test]
fn a_version_that_is_somewhat_slower_is_proven() {
    for (slow_share, factor) in [(1.0, 1.4), (0.1, 4.0)] {
        let proven = (0..SEEDS).filter(|seed| {
            let model = EvidenceModel::with_answers(*seed, CANARY_ANSWERS, slow_share, factor);
            model.is_kept()
        });
        let proven = proven.count() as u64;
        assert!(
            proven >= SEEDS * 9 / 10,
            "{proven} of {SEEDS} proven at {factor}"
        );
    }
}

#[test]
fn totals_reported_by_a_peer_never_lower_known_counts() {
    let mut pool = EvidencePool::default();
    pool.merge(&row("a", 10, 5), MonotonicTime(1));
    let reported = ClassCounts {
        target_good: 30,
        target_bad: 2,
        ..ClassCounts::default()
    };
    let classes = [("letters".to_owned(), reported)].into_iter().collect();
    pool.join_reported_totals(classes, BTreeMap::new());
    let totals = pool.totals();
    assert_eq!((totals.target_good, totals.target_bad), (30, 5));
}

proptest! {
    /// Rows in any order and repeated, from several router incarnations, give the same sums.
    #[test]
    fn rows_add_up_in_any_order(
        order in Just(rows()).prop_shuffle(),
        repeated in any::<prop::sample::Index>(),
    ) {
        let mut pool = EvidencePool::default();
        let again = order[repeated.index(order.len())].clone();
        for (number, row) in order.into_iter().chain([again]).enumerate() {
            pool.merge(&row, MonotonicTime(number as i64));
        }
        let totals = pool.totals();
        prop_assert_eq!((totals.target_good, totals.target_bad), (9 + 9 + 9, 3 + 3 + 3));
    }
}

/// Three rows with growing counts from each of three routers.
fn rows() -> Vec<EvidenceRow> {
    ["a", "b", "c"]
        .into_iter()
        .flat_map(|router| (1..=3).map(move |step| row(router, 3 * step, step)))
        .collect()
}
