//! Decides whether a request is retried after a failed attempt.

use std::time::Duration;

use super::{RunGate, RunState, UpstreamFailure};

/// State of a request after a failed attempt.
#[derive(Debug, Clone, Copy)]
pub struct RetryQuery {
    /// How the attempt failed.
    pub failure: UpstreamFailure,
    /// Whether the request may have run in an earlier attempt.
    pub earlier: RunState,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the caller has received any byte of an answer.
    pub answer_begun: bool,
    /// Number of attempts made, including the failed one.
    pub attempts: u32,
    /// Time to the deadline; absent when the request has none.
    pub time_left: Option<Duration>,
    /// Minimum time that another attempt needs.
    pub time_needed: Duration,
}

/// Decision after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryVerdict {
    /// Send the request to an upstream that it was not sent to before.
    RetryElsewhere,
    /// Return an error to the caller.
    GiveUp {
        /// Whether the request ran, as the caller is told.
        run: RunState,
        /// Reason why there is no retry.
        reason: GiveUpReason,
    },
}

closed_set! {
    /// Reason why a failed request is not retried.
    pub enum GiveUpReason {
        /// Every upstream would refuse it.
        BadRequest,
        /// The caller already has a part of an answer.
        AnswerBegun,
        /// It may have run, and it is not idempotent.
        MayHaveRun,
        /// It has used all its attempts.
        AttemptsUsed,
        /// Another attempt would end after the deadline.
        DeadlineTooNear,
        /// The retry budget is used up.
        BudgetUsed,
    }
}

/// Limits on the retries of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Maximum number of attempts of one request, including the first.
    pub most_attempts: u32,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self { most_attempts: 3 }
    }
}

impl RetryPolicy {
    /// Decides whether to retry. `spend` takes a retry out of a budget and returns whether the
    /// budget covered it; it is called only when nothing else prevents the retry.
    pub fn decide(&self, query: &RetryQuery, spend: impl FnOnce() -> bool) -> RetryVerdict {
        let run = query.earlier.max(query.failure.run_state());
        let reason = self.give_up_reason(query, run);
        match reason {
            Some(reason) => RetryVerdict::GiveUp { run, reason },
            None if spend() => RetryVerdict::RetryElsewhere,
            None => RetryVerdict::GiveUp {
                run,
                reason: GiveUpReason::BudgetUsed,
            },
        }
    }

    /// Decides whether to retry after the upstream crashed; such a retry uses no budget.
    pub fn decide_after_crash(&self, query: &RetryQuery) -> RetryVerdict {
        let run = query.earlier.max(query.failure.run_state());
        match self.give_up_reason(query, run) {
            Some(reason) => RetryVerdict::GiveUp { run, reason },
            None => RetryVerdict::RetryElsewhere,
        }
    }

    /// Reason against a retry other than the budget; `None` when a retry is possible.
    fn give_up_reason(&self, query: &RetryQuery, run: RunState) -> Option<GiveUpReason> {
        let too_near = query.time_left.is_some_and(|t| t < query.time_needed);
        let gate = RunGate {
            is_repeatable: query.idempotent,
            run,
        };
        match query.failure {
            failure if !failure.may_succeed_elsewhere() => Some(GiveUpReason::BadRequest),
            _ if query.answer_begun => Some(GiveUpReason::AnswerBegun),
            _ if !gate.admits() => Some(GiveUpReason::MayHaveRun),
            _ if query.attempts >= self.most_attempts => Some(GiveUpReason::AttemptsUsed),
            _ if too_near => Some(GiveUpReason::DeadlineTooNear),
            _ => None,
        }
    }
}
