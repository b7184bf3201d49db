//! Deadline admission, its estimates, and fair parts.

use std::time::Duration;

use ferry_decisions::admission::{
    AdmissionConfig, AdmissionQuery, DeadlineAdmission, DecayingHistogram, FairLevel, FairStanding,
    PriorityClass, RefusalReason, ServiceEstimate, ServiceHistory, WorkspaceDemand,
};
use ferry_decisions::choice::{ReportedLoad, UpstreamLoad};
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
        service: Some(ServiceEstimate {
            mean: Duration::from_millis(1_000),
            quantile: Duration::from_millis(1_500),
            recent: true,
        }),
        point: 0.5,
    }
}

fn demands() -> impl Strategy<Value = Vec<WorkspaceDemand>> {
    let demand = (0.1..10.0_f64, 0.0..100.0_f64)
        .prop_map(|(weight, offered)| WorkspaceDemand { weight, offered });
    prop::collection::vec(demand, 1..12)
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
    fn fair_parts_fill_the_capacity_and_spare_the_modest(
        demands in demands(),
        capacity in 1.0..200.0_f64,
    ) {
        let level = FairLevel::compute(capacity, &demands);
        let admitted: f64 = demands.iter().map(|d| d.offered * level.fraction(d)).sum();
        let offered: f64 = demands.iter().map(|d| d.offered).sum();
        prop_assert!((admitted - offered.min(capacity)).abs() < 1e-6 * (1.0 + offered));
        let weights: f64 = demands.iter().map(|d| d.weight).sum();
        for demand in &demands {
            if demand.offered < capacity * demand.weight / weights {
                prop_assert_eq!(level.fraction(demand), 1.0);
            }
        }
    }

    #[test]
    fn a_greedier_workspace_takes_nothing_from_one_within_its_part(
        mut demands in demands(),
        capacity in 1.0..200.0_f64,
        factor in 1.0..100.0_f64,
    ) {
        let weights: f64 = demands.iter().map(|d| d.weight).sum();
        let modest = demands[0].offered < capacity * demands[0].weight / weights;
        for demand in &mut demands[1..] {
            demand.offered *= factor;
        }
        let fraction = FairLevel::compute(capacity, &demands).fraction(&demands[0]);
        prop_assert!(!modest || fraction == 1.0);
    }

    #[test]
    fn a_longer_queue_never_helps_and_refusals_name_a_time(
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
fn work_beyond_the_fair_part_and_batch_work_give_way_first() {
    let admission = DeadlineAdmission::default();
    let within = query(20, 5_000);
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
fn old_samples_that_forbid_everything_are_probed() {
    let admission = DeadlineAdmission::default();
    let mut history = ServiceHistory::default();
    for _ in 0..20 {
        history.record(Duration::from_secs(1), 900);
    }
    let decide = |now: u64, point: f64| {
        let service = history.estimate(
            Duration::from_secs(now),
            &AdmissionConfig::default(),
            10.0,
            None,
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
fn an_estimate_follows_the_step_duration_and_the_request_s_own_bound() {
    let config = AdmissionConfig::default();
    let mut history = ServiceHistory::default();
    assert_eq!(history.estimate(Duration::ZERO, &config, 10.0, None), None);
    for _ in 0..10 {
        history.record(Duration::ZERO, 100);
    }
    let estimate = |step_ms, bound| {
        history
            .estimate(Duration::ZERO, &config, step_ms, bound)
            .unwrap()
    };
    assert_eq!(estimate(10.0, None).mean, Duration::from_secs(1));
    assert_eq!(estimate(50.0, None).mean, Duration::from_secs(5));
    assert_eq!(
        estimate(10.0, Some(20)).quantile,
        Duration::from_millis(200)
    );
}
