//! Sends of a request and the reading of whole answers.

use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::names::WorkspaceName;
use ferry_decisions::retry::{RunState, UpstreamFailure};
use ferry_kernel::http::collect_limited;
use ferry_platform::headers::{ForwardFacts, forward_headers, set_resume_point};
use tokio::time::{Instant, timeout};

use super::RelayRun;
use super::relay_run::RunAnswer;
use super::upstream_send::{OutgoingRequest, SendFailure, UpstreamAnswer, send};
use crate::relay::upstreams::RelayUpstream;

/// Longest answer that is read as a whole before it is passed on, in bytes.
const WHOLE_ANSWER_LIMIT: usize = 16 * 1024 * 1024;
/// Multiple of the usual time to the head of an answer after which it counts as lost.
const HEAD_LIMIT_FACTOR: u32 = 8;
/// Part of the rule's target latency before which no answer counts as lost.
const HEAD_LIMIT_PART: f64 = 0.7;
/// Multiple of the usual time that a failure counts as.
const FAILURE_RATIO: f64 = 6.0;

impl RelayRun {
    /// Sends the request to `upstream`, from after the event `last_event` on if one is named.
    pub(super) async fn send_to(
        &mut self,
        upstream: &Arc<RelayUpstream>,
        last_event: Option<u64>,
    ) -> Result<UpstreamAnswer, SendFailure> {
        let model = self.model();
        let outgoing = self.outgoing(upstream, model.as_deref(), last_event);
        self.tried.push(upstream.record.life.id.clone());
        self.record.sends += 1;
        self.record.upstream = upstream.id().to_owned();
        self.record.model = model.unwrap_or_default();
        self.note_send(upstream);
        self.hold_session(upstream);
        let before = std::mem::replace(&mut self.run, RunState::MayHaveRun);
        let sent = Instant::now();
        let sending = send(upstream, &outgoing, &self.request.id);
        let result = match self.head_limit() {
            Some(limit) => timeout(limit, sending)
                .await
                .unwrap_or_else(|_| Err(SendFailure::plain(UpstreamFailure::TimedOut))),
            None => sending.await,
        };
        match &result {
            Ok(answer) => self.note_head(upstream, answer, sent.elapsed()),
            Err(failure) => self.note_failure(upstream, failure.kind, before),
        }
        result
    }

    /// Takes in the head of an answer that came after `took`.
    fn note_head(&mut self, upstream: &RelayUpstream, answer: &UpstreamAnswer, took: Duration) {
        upstream.clear_suspicion();
        if let Some(load) = answer.facts.load {
            upstream.note_load(load, self.core.clock.now());
        }
        self.run = RunState::Ran;
        self.runs += 1;
        self.note_pace(upstream, took);
        self.note_answer(upstream, Some(took));
        self.record.confidence = answer.facts.confidence;
    }

    /// Takes in a send without an answer; `before` is what was known of the run until then.
    fn note_failure(
        &mut self,
        upstream: &RelayUpstream,
        failure: UpstreamFailure,
        before: RunState,
    ) {
        let now = self.core.clock.now();
        let run = failure.run_state();
        self.run = before.max(run);
        if run != RunState::NotRun {
            self.runs += 1;
            upstream.note_pace(FAILURE_RATIO, now);
            self.note_answer(upstream, None);
        }
        if failure == UpstreamFailure::Leaving {
            upstream.mark_leaving();
        }
        if failure.makes_suspect() {
            upstream.mark_suspect(now);
        }
        if failure == UpstreamFailure::BrokenBeforeAnswer {
            self.note_break(upstream);
        }
    }

    /// Time after which a request that may run twice is sent elsewhere while the head of its answer
    /// is awaited; none before the usual time is known.
    pub(super) fn head_limit(&self) -> Option<Duration> {
        let rule = &self.request.rule;
        if !rule.run.is_repeatable() || self.record.sends >= rule.attempts {
            return None;
        }
        let tokens = self.request.facts.prompt.prompt_tokens;
        let expected = self.core.pace.lock().expected(&self.pace_class(), tokens)?;
        let least = rule.target_latency.mul_f64(HEAD_LIMIT_PART);
        Some((expected * HEAD_LIMIT_FACTOR).max(least))
    }

    pub(super) fn outgoing(
        &self,
        upstream: &RelayUpstream,
        model: Option<&str>,
        last_event: Option<u64>,
    ) -> OutgoingRequest {
        let request = &self.request;
        let facts = ForwardFacts {
            upstream: upstream.id(),
            workspace: request.workspace().map(WorkspaceName::as_str),
            time_left: request.final_time.saturating_duration_since(Instant::now()),
            model,
            rank: request.rank(),
        };
        let mut headers = forward_headers(&request.headers, &facts);
        if let Some(event) = last_event {
            set_resume_point(&mut headers, event);
        }
        OutgoingRequest {
            method: request.method.clone(),
            target: request.target.clone(),
            headers,
            body: request.body.clone(),
        }
    }

    /// Reads an answer that is not a series of events to its end.
    pub(super) async fn take_answer(
        &mut self,
        answer: UpstreamAnswer,
    ) -> Result<RunAnswer, SendFailure> {
        if self.request.rule.run.is_stream() && answer.head.status.is_success() {
            return Ok(RunAnswer::Events(Box::new(answer)));
        }
        let UpstreamAnswer {
            head,
            facts,
            body,
            lease,
            upstream,
            ticket: _ticket,
        } = answer;
        match collect_limited(body, WHOLE_ANSWER_LIMIT).await {
            Ok(body) => {
                if !facts.closes {
                    lease.give_back(facts.keep_alive);
                }
                self.clear_breaks();
                Ok(RunAnswer::Whole(Box::new(head), body))
            }
            Err(error) => {
                spdlog::debug!("the answer of {} broke off: {}", upstream.id(), error);
                upstream.mark_suspect(self.core.clock.now());
                self.note_break(&upstream);
                Err(SendFailure::plain(UpstreamFailure::BrokenInAnswer))
            }
        }
    }
}
