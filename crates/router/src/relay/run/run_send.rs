//! Sends a request to an upstream and reads answers that are not streams.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::ends::{AnswerEnd, EndPlace, EndVerdict};
use ferry_decisions::names::{ModelName, WorkspaceName};
use ferry_decisions::retry::{HeadWait, ResendMeans, RunState, UpstreamFailure};
use ferry_decisions::workload::work_class;
use ferry_kernel::http::BodyError;
use ferry_platform::headers::{ForwardFacts, forward_headers, named_model, set_resume_point};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout};

use super::RelayRun;
use super::end_judgement::{EndedAnswer, end_mark};
use super::planned_send::PlannedSend;
use super::relay_run::RunAnswer;
use super::upstream_send::{OutgoingRequest, SendFailure, UpstreamAnswer, send};
use super::work_placement::request_size;
use crate::relay::paths::{record_lost_path, record_success};
use crate::relay::rollouts::AnswerSign;
use crate::relay::upstreams::RelayUpstream;
use crate::relay::workload::RunFacts;

/// Latency ratio that is recorded for a failed send that may have run.
const FAILURE_LATENCY_RATIO: f64 = 6.0;

/// Why a body is not delivered.
enum BodyLoss {
    /// It broke off, or is longer than the limit.
    Broken(BodyError),
    /// It may have been cut off; nobody is to blame.
    Unproven,
}

impl RelayRun {
    /// Makes the send `planned`; with `last_event`, asks the upstream to resume the stream after that event.
    ///
    /// # Errors
    ///
    /// Returns how the send failed; a head that does not arrive in time is a `TimedOut` failure.
    pub(super) async fn send_to(
        &mut self,
        planned: PlannedSend,
        last_event: Option<u64>,
    ) -> Result<UpstreamAnswer, SendFailure> {
        let upstream = &Arc::clone(&planned.upstream);
        let model = self.model();
        let outgoing = self.outgoing(upstream, model.as_deref(), last_event);
        self.record.record_send(upstream.id());
        self.record.model = model.unwrap_or_default();
        self.log_send(upstream);
        let record = &upstream.record;
        self.core
            .rollouts
            .record_send(&record.service, &record.version);
        self.hold_session(upstream);
        let before = std::mem::replace(&mut self.run, RunState::MayHaveRun);
        let sent = Instant::now();
        // Boxed, since each future around it would hold the send twice, in the memory of the request and on the stack.
        let sending = Box::pin(send(&self.core, planned, &outgoing, &self.request.id));
        let sending = self.watch_head(upstream, sending);
        let timed_out = SendFailure::without_answer(UpstreamFailure::TimedOut);
        let (result, was_overdue) = self
            .wait_for_head(sending)
            .await
            .unwrap_or((Err(timed_out), false));
        match &result {
            Ok(answer) => self.record_head(upstream, answer, sent.elapsed(), was_overdue),
            Err(failure) => self.record_failure(upstream, failure, before),
        }
        result
    }

    /// Waits for the head of an answer; `None` if it is late and the request can be sent elsewhere.
    async fn wait_for_head<T>(&self, sending: impl Future<Output = T>) -> Option<T> {
        let Some(limit) = self.head_limit() else {
            return Some(sending.await);
        };
        tokio::pin!(sending);
        loop {
            match timeout(limit, &mut sending).await {
                Ok(result) => return Some(result),
                Err(_) if self.can_send_again() => return None,
                // A late answer is better than none.
                Err(_) => {}
            }
        }
    }

    /// Time to wait for the head of an answer before the request is sent elsewhere, or to the smaller model that has answered it.
    fn head_limit(&self) -> Option<Duration> {
        let own = self.head_timeout();
        own.into_iter().chain(self.return_wait()).min()
    }

    /// Whether time and retry budget are left for another send.
    fn can_send_again(&self) -> bool {
        let Some(service) = &self.service else {
            return false;
        };
        let means = ResendMeans {
            time_left: self.time_left(),
            time_needed: self.time_needed(),
            retries: self.core.retries_left(service),
        };
        means.suffice()
    }

    /// Records the head of an answer that arrived after `took`, and may have been recorded as overdue.
    fn record_head(
        &mut self,
        upstream: &RelayUpstream,
        answer: &UpstreamAnswer,
        took: Duration,
        was_overdue: bool,
    ) {
        upstream.clear_suspect();
        // A lost path is restored by new connections only; older ones may live on without it.
        if answer.lease.detour().is_none() && !upstream.is_path_lost() {
            record_success(&self.core, upstream);
        }
        self.record_life(upstream, &answer.lease);
        self.rejected = false;
        self.was_not_reached = false;
        self.run = RunState::Ran;
        self.possible_runs += 1;
        self.record_latency(upstream, answer.head.status, took);
        if !was_overdue {
            self.record_sign(upstream, AnswerSign::Head(took));
        }
        self.record.confidence = answer.facts.confidence;
    }

    /// Records a failed send; `before` is the run state before it.
    fn record_failure(
        &mut self,
        upstream: &Arc<RelayUpstream>,
        failure: &SendFailure,
        before: RunState,
    ) {
        let SendFailure { kind, detour, .. } = failure;
        let failure = *kind;
        let now = self.core.clock.now();
        let run = failure.run_state();
        self.run = before.max(run);
        if run != RunState::NotRun {
            self.possible_runs += 1;
        }
        if run != RunState::NotRun && failure != UpstreamFailure::PathLost {
            upstream.record_latency(FAILURE_LATENCY_RATIO, now);
            self.record_version_failure(upstream);
        }
        self.rejected = failure == UpstreamFailure::QueueFull;
        self.was_not_reached = failure == UpstreamFailure::ConnectFailed;
        // A failed connect is about the path, which keeps its own state.
        if failure.makes_suspect() && failure != UpstreamFailure::ConnectFailed {
            upstream.mark_suspect(now);
        }
        if failure == UpstreamFailure::BrokenBeforeAnswer {
            self.record_crash(upstream, detour.as_ref());
        }
    }

    /// Time to wait for the head of an answer before a repeatable request is sent elsewhere.
    ///
    /// `None` if the request must not run twice, has no attempt left, or, while no load is shared, the usual time is not
    /// known yet.
    pub(super) fn head_timeout(&self) -> Option<Duration> {
        let rule = &self.request.rule;
        if !rule.run.is_repeatable() || self.record.sends >= rule.attempts {
            return None;
        }
        // A router that has just started knows no class; without a limit, a silent upstream would take all the time that the request has.
        let unknown = self.core.load.is_sharing().then_some(Duration::ZERO);
        let wait = HeadWait {
            expected: self.usual_head().or(unknown)?,
            target_latency: rule.target_latency,
        };
        Some(wait.limit(self.time_left()))
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
            model,
            rank: request.rank(),
        };
        let mut headers = forward_headers(&request.headers, &facts);
        if let Some(event) = last_event {
            set_resume_point(&mut headers, event);
        }
        let caller_model = named_model(&request.headers).filter(|_| model.is_none());
        OutgoingRequest {
            method: request.method.clone(),
            target: request.target.clone(),
            caller_model: caller_model.as_deref().map(ModelName::new),
            headers,
            body: request.body.clone(),
            regions: request.allowed_regions(),
            until: self.core.work_end.limit(request.answer_deadline),
            run: self.run_facts(model, last_event.is_some()),
        }
    }

    /// What is known of the run on `model`, or on the model that the caller names.
    fn run_facts(&self, model: Option<&str>, is_resumed: bool) -> RunFacts {
        let request = &self.request;
        let model = model.or(request.facts.model.as_deref()).unwrap_or_default();
        RunFacts {
            rule: request.rule.name.to_string(),
            class: work_class(request.rule.name.as_str(), model),
            size: request_size(request),
            is_resumed,
            class_series: self
                .record
                .class
                .as_ref()
                .map(|class| Arc::clone(class.series())),
        }
    }

    /// Reads the answer to its end, unless it is a successful stream, which is returned to be forwarded.
    ///
    /// # Errors
    ///
    /// Fails when the answer breaks off or is longer than the limit.
    pub(super) async fn read_answer(
        &mut self,
        answer: UpstreamAnswer,
    ) -> Result<RunAnswer, SendFailure> {
        if self.request.rule.run.is_stream() && answer.head.status.is_success() {
            return Ok(RunAnswer::Events(Box::new(answer)));
        }
        let keeps_link = answer.keeps_link();
        let UpstreamAnswer {
            head,
            facts,
            framing,
            body,
            silence,
            lease,
            upstream,
            in_flight,
        } = answer;
        let ended = EndedAnswer {
            end: AnswerEnd {
                mark: end_mark(framing),
                place: EndPlace::Boundary,
            },
            upstream: &upstream,
            detour: lease.detour(),
            silence: &silence,
            pieces: 0,
        };
        match self.collect_body(&ended, body).await {
            Ok(body) => {
                in_flight.record_end();
                if keeps_link {
                    lease.give_back(facts.keep_alive);
                }
                // A server error may come from an upstream that did not run the request.
                if !head.status.is_server_error() {
                    self.record_completion(&upstream, head.status, framing);
                }
                Ok(RunAnswer::Whole(Box::new(head), framing, body))
            }
            Err(BodyLoss::Unproven) => {
                Err(SendFailure::without_answer(UpstreamFailure::BrokenInAnswer))
            }
            Err(BodyLoss::Broken(error)) => {
                spdlog::debug!(
                    "the answer of upstream {} was not read to its end: {}",
                    upstream.id(),
                    error
                );
                if lease.is_tunnel_lost() {
                    record_lost_path(&self.core, &upstream, lease.detour());
                } else {
                    upstream.mark_suspect(self.core.clock.now());
                    self.record_crash(&upstream, lease.detour());
                }
                Err(SendFailure::without_answer(UpstreamFailure::BrokenInAnswer))
            }
        }
    }

    /// Reads a body to its end, and judges the end.
    ///
    /// # Errors
    ///
    /// Fails when the body is too long, breaks off, or may have been cut off.
    async fn collect_body(
        &self,
        answer: &EndedAnswer<'_>,
        body: Incoming,
    ) -> Result<Bytes, BodyLoss> {
        let body = self.core.answer_budget.collect(body).await;
        let body = body.map_err(BodyLoss::Broken)?;
        match self.judge_end(answer).await {
            EndVerdict::Whole => Ok(body),
            EndVerdict::Broken => Err(BodyLoss::Broken(BodyError::Truncated(
                answer.end.place.break_reason().to_owned(),
            ))),
            EndVerdict::Unproven => Err(BodyLoss::Unproven),
        }
    }
}
