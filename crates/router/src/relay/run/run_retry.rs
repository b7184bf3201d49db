//! Decides what follows a failed send: a retry or the final answer.

use ferry_decisions::retry::{RetryPolicy, RetryQuery, RetryVerdict, UpstreamFailure};

use super::RelayRun;
use super::relay_run::RunAnswer;
use super::upstream_send::SendFailure;
use crate::relay::request::{RefusalReason, RelayRefusal};

/// Maximum number of sends per request that do not count as attempts, since upstreams refused them without
/// running the request.
const MAX_REFUSED_SENDS: u32 = 3;

impl RelayRun {
    /// Decides whether the request is sent again after `failure`.
    ///
    /// # Errors
    ///
    /// Returns the final refusal when the request is not sent again.
    pub(super) fn decide_retry(&mut self, failure: &SendFailure) -> Result<(), RelayRefusal> {
        // After a failed connect the same upstream may be reached through another router.
        if failure.kind != UpstreamFailure::ConnectFailed {
            self.failed_at.push(self.record.upstream.as_str().into());
        }
        let left = self.time_left();
        let query = RetryQuery {
            failure: failure.kind,
            earlier: self.run,
            idempotent: self.request.rule.run.is_repeatable(),
            answer_begun: false,
            attempts: self.counted_sends(),
            time_left: Some(left),
            time_needed: self.time_needed(),
        };
        let policy = RetryPolicy {
            most_attempts: self.request.rule.attempts,
        };
        let service = self.service.clone();
        let spend = || match (&service, failure.kind) {
            // Nothing was sent to an upstream.
            (_, UpstreamFailure::ConnectFailed | UpstreamFailure::RefusedNotRun) => true,
            (Some(service), _) => self.core.spend_retry(service, 0.0),
            (None, _) => false,
        };
        let verdict = policy.decide(&query, spend);
        spdlog::info!("send failed", kv: {
            request_id = self.request.id.as_str(),
            upstream = self.record.upstream.as_str(),
            failure:? = failure.kind,
            sends = self.record.sends,
            time_left_ms = left.as_millis() as u64,
            verdict:? = verdict,
        });
        let RetryVerdict::GiveUp { run, .. } = verdict else {
            return Ok(());
        };
        let reason = match failure.kind {
            UpstreamFailure::QueueFull => RefusalReason::Busy,
            UpstreamFailure::ConnectFailed | UpstreamFailure::Leaving => RefusalReason::NoUpstream,
            UpstreamFailure::UnknownModel => RefusalReason::UnknownModel,
            _ => RefusalReason::UpstreamFailed,
        };
        Err(RelayRefusal::not_run(reason).with_run(run))
    }

    /// Number of sends that count as attempts.
    fn counted_sends(&self) -> u32 {
        let refused = self.record.sends.saturating_sub(MAX_REFUSED_SENDS);
        self.possible_runs.max(refused)
    }

    /// Number of attempts that the rule leaves for further sends.
    pub(super) fn attempts_left(&self) -> u32 {
        let attempts = self.request.rule.attempts;
        attempts.saturating_sub(self.counted_sends())
    }

    /// The upstream's own failure answer if it sent one, otherwise `refusal`.
    pub(super) async fn final_answer(
        &mut self,
        failure: SendFailure,
        refusal: RelayRefusal,
    ) -> Result<RunAnswer, RelayRefusal> {
        let Some(answer) = failure.answer else {
            return Err(refusal);
        };
        self.read_answer(*answer).await.map_err(|_| refusal)
    }
}
