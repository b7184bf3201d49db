//! Retries: budgets, conditions for a retry, and the run state reported to the caller.

use std::time::Duration;

use ferry_decisions::retry::{
    GiveUpReason, RetryBudget, RetryBudgetConfig, RetryPolicy, RetryQuery, RetryVerdict, RunState,
    TRIAL_PERIOD, TrialPace, UpstreamFailure,
};
use ferry_decisions::time::MonotonicTime;
use proptest::prelude::*;

const FAILURES: [UpstreamFailure; 11] = [
    UpstreamFailure::ConnectFailed,
    UpstreamFailure::QueueFull,
    UpstreamFailure::Leaving,
    UpstreamFailure::RefusedNotRun,
    UpstreamFailure::UnknownModel,
    UpstreamFailure::BrokenBeforeAnswer,
    UpstreamFailure::BrokenInAnswer,
    UpstreamFailure::ServerError,
    UpstreamFailure::MalformedAnswer,
    UpstreamFailure::TimedOut,
    UpstreamFailure::BadRequest,
];

fn query(failure: UpstreamFailure) -> RetryQuery {
    RetryQuery {
        failure,
        earlier: RunState::NotRun,
        idempotent: true,
        answer_begun: false,
        attempts: 1,
        time_left: Some(Duration::from_secs(5)),
        time_needed: Duration::from_secs(1),
    }
}

fn decide(query: &RetryQuery) -> RetryVerdict {
    let mut budget = RetryBudget::new(RetryBudgetConfig::default());
    RetryPolicy::default().decide(query, || budget.spend())
}

fn give_up(run: RunState, reason: GiveUpReason) -> RetryVerdict {
    RetryVerdict::GiveUp { run, reason }
}

proptest! {
    #[test]
    fn retries_stay_within_a_fraction_of_new_requests(
        steps in prop::collection::vec(any::<bool>(), 0..2_000),
        fraction in 0.0..0.5_f64,
        reserve in 1.0..20.0_f64,
    ) {
        let mut budget = RetryBudget::new(RetryBudgetConfig { fraction, reserve });
        let (mut new_requests, mut retries) = (0_u32, 0_u32);
        for is_new in steps {
            if is_new {
                budget.record_new_request();
                new_requests += 1;
            } else if budget.spend() {
                retries += 1;
            }
            prop_assert!(f64::from(retries) <= reserve + fraction * f64::from(new_requests) + 1e-6);
        }
    }

    #[test]
    fn a_non_idempotent_request_that_may_have_run_is_never_retried(
        failure in prop::sample::select(&FAILURES[..]),
        earlier in prop::sample::select(&[RunState::NotRun, RunState::MayHaveRun, RunState::Ran][..]),
        attempts in 1_u32..5,
    ) {
        let query = RetryQuery { idempotent: false, earlier, attempts, ..query(failure) };
        let run = earlier.max(failure.run_state());
        match decide(&query) {
            RetryVerdict::RetryElsewhere => prop_assert_eq!(run, RunState::NotRun),
            RetryVerdict::GiveUp { run: reported, .. } => prop_assert_eq!(reported, run),
        }
    }
}

#[test]
fn no_retry_after_the_deadline_the_last_attempt_or_the_start_of_the_answer() {
    let base = query(UpstreamFailure::QueueFull);
    assert_eq!(decide(&base), RetryVerdict::RetryElsewhere);
    let late = RetryQuery {
        time_left: Some(Duration::from_millis(900)),
        ..base
    };
    assert_eq!(
        decide(&late),
        give_up(RunState::NotRun, GiveUpReason::DeadlineTooNear)
    );
    let exhausted = RetryQuery {
        attempts: 3,
        ..base
    };
    assert_eq!(
        decide(&exhausted),
        give_up(RunState::NotRun, GiveUpReason::AttemptsUsed)
    );
    let begun = RetryQuery {
        answer_begun: true,
        ..query(UpstreamFailure::BrokenInAnswer)
    };
    assert_eq!(
        decide(&begun),
        give_up(RunState::Ran, GiveUpReason::AnswerBegun)
    );
}

#[test]
fn a_used_up_budget_is_reported_as_the_reason() {
    let mut budget = RetryBudget::new(RetryBudgetConfig {
        fraction: 0.1,
        reserve: 1.0,
    });
    let policy = RetryPolicy::default();
    let query = query(UpstreamFailure::ServerError);
    assert_eq!(
        policy.decide(&query, || budget.spend()),
        RetryVerdict::RetryElsewhere
    );
    assert_eq!(
        policy.decide(&query, || budget.spend()),
        give_up(RunState::MayHaveRun, GiveUpReason::BudgetUsed)
    );
}

#[test]
fn a_retry_after_a_crash_uses_no_budget() {
    let policy = RetryPolicy::default();
    let broken = query(UpstreamFailure::BrokenBeforeAnswer);
    assert_eq!(
        policy.decide_after_crash(&broken),
        RetryVerdict::RetryElsewhere
    );
    let only_once = RetryQuery {
        idempotent: false,
        ..broken
    };
    assert_eq!(
        policy.decide_after_crash(&only_once),
        give_up(RunState::MayHaveRun, GiveUpReason::MayHaveRun)
    );
}

/// Load pattern: a class of which all requests are refused, some each second, until one that is let through is answered.
#[test]
fn one_request_of_a_refused_class_is_let_through_in_each_period_without_evidence() {
    let start = MonotonicTime::default().after(TRIAL_PERIOD);
    let mut pace = TrialPace::default();
    assert!(!pace.may_try("letters", start));
    assert!(!pace.record("letters", start));
    let steps = 1..=100;
    let tried = steps.filter(|step| {
        let now = start.after(TRIAL_PERIOD.mul_f64(f64::from(*step) / 20.0));
        pace.may_try("letters", now)
    });
    assert_eq!(tried.collect::<Vec<_>>(), [20, 40, 60, 80, 100]);
    let end = start.after(TRIAL_PERIOD * 5);
    assert!(pace.record("letters", end), "the trial is answered");
    assert!(!pace.record("letters", end));
    assert!(!pace.may_try("letters", end.after(TRIAL_PERIOD / 2)));
}
