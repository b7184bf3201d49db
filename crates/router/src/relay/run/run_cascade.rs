//! Moves between the models of a rule's cascade, by the confidence of answers and the time left.

use std::time::Duration;

use ferry_decisions::cascade::EscalationQuery;
use ferry_decisions::retry::SmallerAnswer;

use super::RelayRun;
use super::planned_send::PlannedSend;
use super::upstream_send::UpstreamAnswer;

/// Fraction of the retries that may be left over which a send to a larger model leaves for requests whose upstream
/// failed.
const RESERVED_FRACTION: f64 = 0.1;

impl RelayRun {
    /// Model of the present cascade stage; absent if the caller names a model or the rule has no cascade.
    ///
    /// A request that may run once goes to the largest model, since its answer can't be replaced by a better one.
    pub(super) fn model(&self) -> Option<String> {
        let rule = &self.request.rule;
        if self.request.facts.model.is_some() {
            return None;
        }
        let model = match rule.run.is_repeatable() {
            true => rule.cascade.get(self.stage).or(rule.cascade.last()),
            false => rule.cascade.last(),
        };
        model.map(ToString::to_string)
    }

    /// Moves on to the stage of a larger model if the answer's confidence is too low; returns the upstream to ask.
    ///
    /// The answer is then dropped by the calling function. A larger model needs enough time and retry budget, and an upstream that takes the
    /// request.
    pub(super) async fn try_escalate(
        &mut self,
        answer: &UpstreamAnswer,
        took: Duration,
    ) -> Option<PlannedSend> {
        let Some(stage) = self.next_stage(answer, took) else {
            self.record_judgement(self.stage, answer, false);
            return None;
        };
        if self.core.retries_left(self.service.as_ref()?) < 1.0 {
            return None;
        }
        let smaller_time = self.expected_time();
        let present = std::mem::replace(&mut self.stage, stage);
        self.answered_at.push(self.record.upstream.as_str().into());
        let smaller = SmallerAnswer {
            stage: present,
            expected: smaller_time.max(took),
            time_left: self.time_left(),
        };
        self.has_smaller_answer = true;
        let planned = self.plan_send().await.ok();
        self.has_smaller_answer = false;
        let planned = planned.filter(|planned| {
            let service = &planned.upstream.record.service;
            self.core.spend_retry(service, RESERVED_FRACTION)
        });
        let Some(planned) = planned else {
            self.stage = present;
            return None;
        };
        self.record_judgement(present, answer, true);
        spdlog::info!("larger model asked", kv: {
            request_id = self.request.id.as_str(),
            upstream = self.record.upstream.as_str(),
            confidence = answer.facts.confidence.map_or(-1, i32::from),
            stage = present,
            next_stage = stage,
        });
        self.smaller_answer = Some(smaller);
        Some(planned)
    }

    /// Goes back to the smaller model that has answered the request if the larger one can't be asked once more.
    pub(super) fn return_to_smaller_model(&mut self) {
        let Some(smaller) = self.smaller_answer else {
            return;
        };
        if !smaller.is_next(self.attempts_left(), self.time_left()) {
            return;
        }
        spdlog::info!("smaller model asked again", kv: {
            request_id = self.request.id.as_str(),
            upstream = self.record.upstream.as_str(),
            stage = self.stage,
            next_stage = smaller.stage,
            time_left_ms = self.time_left().as_millis() as u64,
        });
        self.stage = smaller.stage;
        self.smaller_answer = None;
        self.has_returned = true;
        self.answered_at.clear();
    }

    /// Time to wait for the head of a larger model's answer; `None` if the request could not go back to the smaller model.
    pub(super) fn return_wait(&self) -> Option<Duration> {
        let smaller = self.smaller_answer.as_ref()?;
        // The send that is waited for is not counted yet.
        (self.attempts_left() > 1).then(|| smaller.wait(self.time_left()))
    }

    /// The stage of a larger model if the answer's confidence is too low and there is time for one.
    fn next_stage(&self, answer: &UpstreamAnswer, took: Duration) -> Option<usize> {
        let is_kept = self.request.facts.model.is_some() || self.has_returned;
        if is_kept || !answer.head.status.is_success() {
            return None;
        }
        let query = EscalationQuery {
            gate: self.run_gate(),
            stage: self.stage,
            stages: self.request.rule.cascade.len(),
            confidence: answer.facts.confidence,
            sends: self.possible_runs,
            attempts: self.request.rule.attempts,
            took,
            time_left: self.time_left(),
        };
        query.next_stage()
    }
}
