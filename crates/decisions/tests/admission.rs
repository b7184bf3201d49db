//! Deadline admission, service time estimates and fair shares.

use std::time::Duration;

use ferry_decisions::admission::{
    AdmissionConfig, AdmissionQuery, DeadlineAdmission, DecayingHistogram, FairLevel, FairStanding,
    PriorityClass, QueueRank, RefusalReason, ServiceEstimate, ServiceHistory, ServiceQuery,
    WorkspaceDemand,
};
use ferry_decisions::choice::{RankMix, ReportedLoad, UpstreamLoad};
use proptest::prelude::*;

fn query(queued: u32, time_left_ms: u64) -> AdmissionQuery {
    AdmissionQuery {
        time_left: Some(Duration::from_millis(time_left_ms)),
        class: PriorityClass::Normal,
        standing: FairStanding::Within,
        load: UpstreamLoad {
            report: Some(ReportedLoad {
                running: 10,
                queued,
                batch_limit: 10,
                queue_limit: 100,
                step_ms: 10.0,
            }),
            ..UpstreamLoad::default()
        },
        higher_rank_share: 0.0,
        service: Some(ServiceEstimate {
            mean: Duration::from_millis(1_000),
            quantile: Duration::from_millis(1_500),
            recent: true,
        }),
        point: 0.5,
    }
}

fn demands() -> impl Strategy<Value = Vec<WorkspaceDemand>> {
    let rates = prop::array::uniform3(0.0..50.0_f64);
    let demand =
        (0.1..10.0_f64, rates).prop_map(|(weight, offered)| WorkspaceDemand { weight, offered });
    prop::collection::vec(demand, 1..12)
}

fn admitted(level: FairLevel, demand: &WorkspaceDemand) -> f64 {
    PriorityClass::ALL
        .iter()
        .map(|class| demand.offered[class.index()] * level.fraction(demand, *class))
        .sum()
}

fn is_fully_admitted(level: FairLevel, demand: &WorkspaceDemand) -> bool {
    PriorityClass::ALL
        .iter()
        .all(|class| level.fraction(demand, *class) == 1.0)
}

fn service_query(step_ms: f64, most_steps: Option<u32>) -> ServiceQuery {
    ServiceQuery {
        class: PriorityClass::Normal,
        step_ms,
        most_steps,
    }
}

proptest! {
    #[test]
    fn a_quantile_is_within_one_bucket_of_the_exact_one(
        mut values in prop::collection::vec(2_u64..100_000, 4..200),
        quantile in 0.05..0.99_f64,
    ) {
        let mut histogram = DecayingHistogram::default();
        for value in &values {
            histogram.record(Duration::ZERO, *value as f64);
        }
        values.sort_unstable();
        let rank = ((quantile * values.len() as f64).ceil() as usize).clamp(1, values.len());
        let exact = values[rank - 1] as f64;
        let estimate = histogram.quantile(quantile).unwrap();
        prop_assert!(estimate >= exact * 0.999 && estimate <= exact * 1.151, "{estimate} for {exact}");
    }

    #[test]
    fn fair_shares_fill_the_capacity_and_admit_small_demands_fully(
        demands in demands(),
        capacity in 1.0..200.0_f64,
    ) {
        let level = FairLevel::compute(capacity, &demands);
        let admitted: f64 = demands.iter().map(|d| admitted(level, d)).sum();
        let offered: f64 = demands.iter().map(WorkspaceDemand::total).sum();
        prop_assert!((admitted - offered.min(capacity)).abs() < 1e-6 * (1.0 + offered));
        let weights: f64 = demands.iter().map(|d| d.weight).sum();
        for demand in &demands {
            if demand.total() < 0.999 * capacity * demand.weight / weights {
                prop_assert!(is_fully_admitted(level, demand));
            }
        }
    }

    #[test]
    fn a_higher_demand_takes_nothing_from_a_workspace_within_its_share(
        mut demands in demands(),
        capacity in 1.0..200.0_f64,
        factor in 1.0..100.0_f64,
    ) {
        let weights: f64 = demands.iter().map(|d| d.weight).sum();
        let within_share = demands[0].total() < 0.999 * capacity * demands[0].weight / weights;
        for demand in &mut demands[1..] {
            demand.offered.iter_mut().for_each(|rate| *rate *= factor);
        }
        let level = FairLevel::compute(capacity, &demands);
        prop_assert!(!within_share || is_fully_admitted(level, &demands[0]));
    }

    #[test]
    fn a_longer_queue_admits_no_more_and_refusals_have_a_retry_time(
        queued in 0_u32..80,
        more in 0_u32..80,
        time_left in 0_u64..10_000,
    ) {
        let admission = DeadlineAdmission::default();
        let short = admission.decide(&query(queued, time_left));
        let long = admission.decide(&query(queued + more, time_left));
        prop_assert!(short.is_ok() || long.is_err());
        for refusal in [short, long].into_iter().filter_map(Result::err) {
            prop_assert!(refusal.retry_after > Duration::ZERO);
        }
    }
}

/// Step durations of all sizes, the largest and smallest among them.
fn any_step_ms() -> impl Strategy<Value = f64> {
    let extremes = [0.0, -1.0, f64::MIN_POSITIVE, 1e18, 1e19, 1e300, f64::MAX];
    prop_oneof![0.1..100.0_f64, prop::sample::select(extremes.to_vec())]
}

proptest! {
    /// Guards against a step duration that an engine states and that no clock can hold.
    #[test]
    fn a_step_duration_of_any_size_gives_a_decision(
        step_ms in any_step_ms(),
        steps in prop_oneof![1_u32..1_000, Just(u32::MAX)],
        queued in prop_oneof![0_u32..100, Just(u32::MAX)],
        higher_rank_share in 0.0..=1.0_f64,
    ) {
        let config = AdmissionConfig::default();
        let mut history = ServiceHistory::default();
        for _ in 0..20 {
            history.record(Duration::ZERO, PriorityClass::Normal, steps);
        }
        let load = UpstreamLoad {
            report: Some(ReportedLoad { running: 10, queued, batch_limit: 1, queue_limit: 100, step_ms }),
            ..UpstreamLoad::default()
        };
        let service = history.estimate(Duration::ZERO, &config, &service_query(load.step_ms(), None));
        prop_assert!(service.is_some());
        let decided = DeadlineAdmission::default().decide(&AdmissionQuery {
            service,
            load,
            higher_rank_share,
            ..query(0, 3_000)
        });
        if step_ms >= 1e18 {
            prop_assert!(decided.is_err());
        }
    }
}

#[test]
fn a_request_that_cannot_end_in_time_is_refused_with_the_reason() {
    let admission = DeadlineAdmission::default();
    let near = admission.decide(&query(0, 1_000)).unwrap_err();
    assert_eq!(near.reason, RefusalReason::DeadlineTooNear);
    let long = admission.decide(&query(60, 5_000)).unwrap_err();
    assert_eq!(long.reason, RefusalReason::QueueTooLong);
    assert!(admission.decide(&query(20, 5_000)).is_ok());
    let mut unknown = query(60, 1);
    unknown.service = None;
    assert!(admission.decide(&unknown).is_ok());
}

#[test]
fn work_beyond_the_fair_share_and_batch_work_are_refused_first() {
    let admission = DeadlineAdmission::default();
    let within = query(28, 5_000);
    let beyond = AdmissionQuery {
        standing: FairStanding::Beyond,
        ..within
    };
    let batch = AdmissionQuery {
        class: PriorityClass::Batch,
        ..within
    };
    assert!(admission.decide(&within).is_ok());
    let refusal = admission.decide(&beyond).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::BeyondFairPart);
    assert!(admission.decide(&batch).is_err());
}

#[test]
fn probes_are_admitted_when_old_samples_refuse_everything() {
    let admission = DeadlineAdmission::default();
    let mut history = ServiceHistory::default();
    for _ in 0..20 {
        history.record(Duration::from_secs(1), PriorityClass::Normal, 900);
    }
    let decide = |now: u64, point: f64| {
        let service = history.estimate(
            Duration::from_secs(now),
            &AdmissionConfig::default(),
            &service_query(10.0, None),
        );
        admission.decide(&AdmissionQuery {
            service,
            point,
            ..query(0, 3_000)
        })
    };
    assert!(decide(2, 0.05).is_err());
    assert!(decide(8, 0.05).is_ok());
    assert!(decide(8, 0.5).is_err());
}

#[test]
fn an_estimate_follows_the_step_duration_and_the_step_limit_of_the_request() {
    let config = AdmissionConfig::default();
    let mut history = ServiceHistory::default();
    assert_eq!(
        history.estimate(Duration::ZERO, &config, &service_query(10.0, None)),
        None
    );
    for _ in 0..10 {
        history.record(Duration::ZERO, PriorityClass::Urgent, 100);
    }
    let estimate = |step_ms, bound| {
        history
            .estimate(Duration::ZERO, &config, &service_query(step_ms, bound))
            .unwrap()
    };
    assert_eq!(estimate(10.0, None).mean, Duration::from_secs(1));
    assert_eq!(estimate(50.0, None).mean, Duration::from_secs(5));
    assert_eq!(
        estimate(10.0, Some(20)).quantile,
        Duration::from_millis(200)
    );
}

#[test]
fn work_within_the_fair_share_ranks_above_all_work_beyond_it() {
    let rank = |class, standing| QueueRank::new(class, standing);
    let least_within = rank(PriorityClass::Batch, FairStanding::Within);
    assert!(rank(PriorityClass::Urgent, FairStanding::Beyond) < least_within);
    assert!(rank(PriorityClass::Normal, FairStanding::Within) > least_within);
}

#[test]
fn work_of_lower_rank_does_not_count_as_waiting_ahead() {
    let admission = DeadlineAdmission::default();
    let mut query = query(60, 5_000);
    assert!(admission.decide(&query).is_err());
    query.load.mix = RankMix {
        lower: 55,
        same: 15,
        higher: 0,
    };
    let estimate = admission.decide(&query).unwrap();
    assert!(estimate.wait > Duration::ZERO);
}

#[test]
fn expected_work_of_higher_rank_lengthens_the_wait() {
    let admission = DeadlineAdmission::default();
    let mut query = query(10, 60_000);
    let alone = admission.decide(&query).unwrap();
    query.higher_rank_share = 0.6;
    let delayed = admission.decide(&query).unwrap();
    assert!(delayed.wait > alone.wait.mul_f64(2.0));
}

#[test]
fn higher_priorities_use_the_share_of_a_workspace_first() {
    let demand = WorkspaceDemand {
        weight: 1.0,
        offered: [10.0, 10.0, 10.0],
    };
    let level = FairLevel(15.0);
    let fractions = PriorityClass::ALL.map(|class| level.fraction(&demand, class));
    assert_eq!(fractions, [0.0, 0.5, 1.0]);
}
