//! The decision after a failed attempt.

use std::time::Duration;

use super::{RunState, UpstreamFailure};

/// Facts about a request whose attempt failed.
#[derive(Debug, Clone, Copy)]
pub struct RetryQuery {
    /// How the attempt failed.
    pub failure: UpstreamFailure,
    /// What the earlier attempts left behind.
    pub earlier: RunState,
    /// Whether the request may run several times.
    pub idempotent: bool,
    /// Whether the caller has received a byte of an answer.
    pub answer_begun: bool,
    /// Attempts made, including the failed one.
    pub attempts: u32,
    /// Time to the deadline; absent when the request has none.
    pub time_left: Option<Duration>,
    /// Time that a further attempt needs at least.
    pub time_needed: Duration,
}

/// What follows on a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryVerdict {
    /// Send the request to an upstream that did not have it.
    RetryElsewhere,
    /// Tell the caller.
    GiveUp {
        /// What the caller is told about the run.
        run: RunState,
        /// Why there is no retry.
        reason: GiveUpReason,
    },
}

closed_set! {
    /// Why a failed request is not retried.
    pub enum GiveUpReason {
        /// Every upstream would refuse it.
        BadRequest,
        /// The caller already has a part of an answer.
        AnswerBegun,
        /// It may have run, and may not run twice.
        MayHaveRun,
        /// It had all its attempts.
        AttemptsUsed,
        /// A further attempt would end after the deadline.
        DeadlineTooNear,
        /// The workspace used up its retries.
        BudgetUsed,
    }
}

/// Bounds on the retries of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Most attempts of one request, the first included.
    pub most_attempts: u32,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self { most_attempts: 3 }
    }
}

impl RetryPolicy {
    /// Decides; `spend` takes a retry out of a budget if it is covered, and is called only when
    /// nothing else is in the way.
    pub fn decide(&self, query: &RetryQuery, spend: impl FnOnce() -> bool) -> RetryVerdict {
        let run = query.earlier.max(query.failure.run_state());
        let reason = self.obstacle(query, run);
        match reason {
            Some(reason) => RetryVerdict::GiveUp { run, reason },
            None if spend() => RetryVerdict::RetryElsewhere,
            None => RetryVerdict::GiveUp {
                run,
                reason: GiveUpReason::BudgetUsed,
            },
        }
    }

    /// Decides after a crash of the upstream, which takes nothing out of the budget.
    pub fn decide_after_crash(&self, query: &RetryQuery) -> RetryVerdict {
        let run = query.earlier.max(query.failure.run_state());
        match self.obstacle(query, run) {
            Some(reason) => RetryVerdict::GiveUp { run, reason },
            None => RetryVerdict::RetryElsewhere,
        }
    }

    fn obstacle(&self, query: &RetryQuery, run: RunState) -> Option<GiveUpReason> {
        let too_near = query.time_left.is_some_and(|t| t < query.time_needed);
        match query.failure {
            failure if !failure.may_succeed_elsewhere() => Some(GiveUpReason::BadRequest),
            _ if query.answer_begun => Some(GiveUpReason::AnswerBegun),
            _ if !query.idempotent && run != RunState::NotRun => Some(GiveUpReason::MayHaveRun),
            _ if query.attempts >= self.most_attempts => Some(GiveUpReason::AttemptsUsed),
            _ if too_near => Some(GiveUpReason::DeadlineTooNear),
            _ => None,
        }
    }
}
