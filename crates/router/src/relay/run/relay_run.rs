//! Run of one request, from its placement to its answer.

use bytes::Bytes;
use ferry_decisions::cascade::SizeQuery;
use ferry_decisions::choice::NoUpstream;
use ferry_decisions::names::{HostName, ServiceName, VersionName};
use ferry_decisions::retry::{RetryPolicy, RetryQuery, RetryVerdict, RunState, UpstreamFailure};
use ferry_decisions::rollout::VersionSide;
use ferry_kernel::http::{HttpBody, collect_limited};
use ferry_platform::headers::{ForwardFacts, forward_headers, set_resume_point};
use hyper::Response;
use hyper::http::response::Parts;
use smallvec::SmallVec;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::task::task_tracker::TaskTrackerToken;

use super::answer_delivery::{deliver_events, deliver_whole};
use super::request_record::RequestRecord;
use super::run_placement::{choose_upstream, conversation_point};
use super::upstream_send::{OutgoingRequest, SendFailure, UpstreamAnswer, send};
use crate::relay::relay_core::SharedCore;
use crate::relay::request::{RefusalReason, RelayRefusal, RelayRequest};
use crate::relay::rollouts::{AnswerNote, VersionPick};
use crate::relay::upstreams::RelayUpstream;

/// Longest answer that is read as a whole before it is passed on, in bytes.
const WHOLE_ANSWER_LIMIT: usize = 16 * 1024 * 1024;
/// Time that a further send needs at least to be of use.
const LEAST_SEND_TIME: Duration = Duration::from_millis(20);
/// Sends that upstreams refused unrun that one request may have besides its attempts.
const UNRUN_SENDS: u32 = 3;
/// Multiple of the usual time to the head of an answer after which it counts as lost.
const HEAD_LIMIT_FACTOR: u32 = 8;
/// Part of the rule's target latency before which no answer counts as lost.
const HEAD_LIMIT_PART: f64 = 0.7;
/// Multiple of the usual time that a failure counts as.
const FAILURE_RATIO: f64 = 6.0;
/// Repeated sends that larger models leave to requests whose upstream failed.
const SPARED_REPEATS: f64 = 3.0;
/// Time after which a caller finds another router when this one lost touch with the platform.
const OTHER_ROUTER_RETRY: Duration = Duration::from_millis(50);

/// A request that is being answered.
pub struct RelayRun {
    /// State of the relay.
    pub core: SharedCore,
    /// The request.
    pub request: RelayRequest,
    /// What happened so far.
    pub record: RequestRecord,
    service: Option<ServiceName>,
    /// Stage of the rule's cascade.
    stage: usize,
    /// Upstreams that had the request.
    tried: SmallVec<[HostName; 4]>,
    /// Version whose upstream last failed the request.
    failed_version: Option<VersionName>,
    /// Sends that did not certainly fail to run.
    runs: u32,
    /// What all sends together say about the run; while one is under way, it may have run.
    run: RunState,
    /// Keeps a stop waiting.
    _work: TaskTrackerToken,
}

/// An answer that can be passed on.
pub enum RunAnswer {
    /// Read to its end.
    Whole(Box<Parts>, Bytes),
    /// A series of events that has begun.
    Events(Box<UpstreamAnswer>),
}

impl RelayRun {
    /// A run that has not started.
    pub fn new(core: SharedCore, request: RelayRequest) -> Self {
        let record = RequestRecord::new(&request);
        let work = core.work.token();
        Self {
            core,
            request,
            record,
            service: None,
            stage: 0,
            tried: SmallVec::new(),
            failed_version: None,
            runs: 0,
            run: RunState::NotRun,
            _work: work,
        }
    }

    /// Answers the request at its final time at the latest.
    pub async fn answer(mut self) -> Response<HttpBody> {
        let until = self.request.final_time;
        let result = timeout_at(until, self.dispatch()).await;
        let result = result.unwrap_or_else(|_| {
            let refusal = RelayRefusal::not_run(RefusalReason::DeadlinePassed);
            Err(refusal.with_run(self.run))
        });
        match result {
            Ok(RunAnswer::Whole(head, body)) => {
                self.record.note_head();
                self.record.status = head.status.as_u16();
                self.record.outcome = "answered";
                deliver_whole(*head, body)
            }
            Ok(RunAnswer::Events(answer)) => {
                self.record.note_head();
                self.record.status = answer.head.status.as_u16();
                deliver_events(self, *answer)
            }
            Err(refusal) => {
                self.record.status = refusal.status().as_u16();
                self.record.outcome = refusal.reason.name();
                self.record.run = refusal.run;
                refusal.to_response()
            }
        }
    }

    /// Goes on with a stream after the event `last_event`, at another upstream.
    ///
    /// # Errors
    ///
    /// Fails when no upstream can go on with it.
    pub async fn resume(
        &mut self,
        last_event: Option<u64>,
        failure: SendFailure,
    ) -> Result<UpstreamAnswer, RelayRefusal> {
        let mut failure = failure;
        loop {
            self.settle_failure(&failure)?;
            let upstream = self.place()?;
            match self.send_to(&upstream, last_event).await {
                Ok(answer) if answer.head.status.is_success() => return Ok(answer),
                Ok(_) => failure = SendFailure::plain(UpstreamFailure::MalformedAnswer),
                Err(next) => failure = next,
            }
        }
    }

    async fn dispatch(&mut self) -> Result<RunAnswer, RelayRefusal> {
        loop {
            let upstream = self.place()?;
            let sent = Instant::now();
            let result = match self.send_to(&upstream, None).await {
                Ok(answer) if self.goes_on(&answer, sent.elapsed()) => continue,
                Ok(answer) => self.take_answer(answer).await,
                Err(failure) => Err(failure),
            };
            match result {
                Ok(answer) => return Ok(answer),
                Err(failure) => {
                    if let Err(refusal) = self.settle_failure(&failure) {
                        return self.last_word(failure, refusal).await;
                    }
                }
            }
        }
    }

    /// Checks the request against the newest rules and chooses an upstream.
    fn place(&mut self) -> Result<Arc<RelayUpstream>, RelayRefusal> {
        let refuse = |reason| RelayRefusal::not_run(reason);
        let rules = self.core.rules.load();
        let rules = rules.as_ref().ok_or(refuse(RefusalReason::NotReady))?;
        let revision = self.request.revision;
        self.request
            .refresh(rules)
            .map_err(|refusal| refusal.with_run(self.run))?;
        if self.service.is_none() || revision != self.request.revision {
            self.pick_service()?;
        }
        let revocation = self.core.settings.load().bounds.revocation;
        if self.request.holder.is_some() && !self.core.contact.covers(revocation) {
            let refusal = refuse(RefusalReason::OutOfTouch).with_run(self.run);
            return Err(refusal.with_retry_after(OTHER_ROUTER_RETRY));
        }
        if self.is_quarantined() {
            return Err(refuse(RefusalReason::Quarantined).with_run(RunState::MayHaveRun));
        }
        let model = self.model();
        let service = self
            .service
            .as_ref()
            .ok_or(refuse(RefusalReason::NoUpstream))?;
        let pick = self.pick_version(service);
        let chosen = choose_upstream(
            &self.core,
            &self.request,
            service,
            model.as_deref(),
            &self.tried,
            pick.as_ref(),
        );
        chosen.map_err(|error: NoUpstream| {
            spdlog::debug!("request {}: {}", self.request.id, error);
            refuse(RefusalReason::NoUpstream).with_run(self.run)
        })
    }

    /// Version that the request gets while one is brought in; one that failed it is left out.
    fn pick_version(&self, service: &ServiceName) -> Option<VersionPick> {
        let gap = self.core.settings.load().bounds.session_gap;
        let session = self.request.affinity_text();
        let now = self.core.clock.now();
        let mut pick = self.core.rollouts.pick(service, session, gap, now)?;
        if self.failed_version.as_ref() == Some(&pick.target) {
            pick.side = VersionSide::Base;
        }
        Some(pick)
    }

    /// Counts an answer, or a failure where `took` is absent, as evidence about the version.
    pub fn note_answer(&mut self, upstream: &RelayUpstream, took: Option<Duration>) {
        let Some(service) = &self.service else {
            return;
        };
        let note = AnswerNote {
            service,
            version: &upstream.record.version,
            class: self.request.rule.name.as_str(),
            model: &self.record.model,
            prompt_tokens: self.request.facts.prompt.prompt_tokens,
            took,
        };
        self.core.rollouts.record(&note, self.core.clock.now());
        if took.is_none() {
            self.failed_version = Some(upstream.record.version.clone());
        }
    }

    /// Whether the request broke too many upstreams to be run again.
    fn is_quarantined(&self) -> bool {
        let crashes = self.core.crashes.lock();
        !crashes.is_empty()
            && crashes.is_quarantined(&self.request.fingerprint(), self.core.clock.now())
    }

    /// Takes in that `upstream` broke off while it ran the request.
    pub fn note_break(&self, upstream: &RelayUpstream) {
        let now = self.core.clock.now();
        let fingerprint = self.request.fingerprint();
        self.core
            .crashes
            .lock()
            .record(fingerprint, &upstream.record.life.id, now);
    }

    /// Takes in that the request was answered to its end.
    pub fn clear_breaks(&self) {
        let mut crashes = self.core.crashes.lock();
        if !crashes.is_empty() {
            crashes.clear(&self.request.fingerprint());
        }
    }

    fn pick_service(&mut self) -> Result<(), RelayRefusal> {
        let point = conversation_point(&self.request);
        let service = self.request.rule.pick_service(point).cloned();
        let service = service.ok_or(RelayRefusal::not_run(RefusalReason::NoUpstream))?;
        if self.service.is_none() {
            self.core.fund_repeats(&service);
        }
        self.service = Some(service);
        Ok(())
    }

    /// Model of the present stage; absent where the caller names one.
    fn model(&self) -> Option<String> {
        if self.request.facts.model.is_some() {
            return None;
        }
        let cascade = &self.request.rule.cascade;
        let stage = self.stage.min(cascade.len().checked_sub(1)?);
        cascade.get(stage).map(ToString::to_string)
    }

    async fn send_to(
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
        let before = std::mem::replace(&mut self.run, RunState::MayHaveRun);
        let sent = Instant::now();
        let sending = send(upstream, &outgoing, &self.request.id);
        let result = match self.head_limit() {
            Some(limit) => timeout(limit, sending)
                .await
                .unwrap_or_else(|_| Err(SendFailure::plain(UpstreamFailure::TimedOut))),
            None => sending.await,
        };
        let now = self.core.clock.now();
        match &result {
            Ok(answer) => {
                upstream.clear_suspicion();
                if let Some(load) = answer.facts.load {
                    upstream.note_load(load, now);
                }
                self.run = RunState::Ran;
                self.runs += 1;
                self.note_pace(upstream, sent.elapsed());
                self.note_answer(upstream, Some(sent.elapsed()));
                self.record.confidence = answer.facts.confidence;
            }
            Err(failure) => {
                let run = failure.kind.run_state();
                self.run = before.max(run);
                if run != RunState::NotRun {
                    self.runs += 1;
                    upstream.note_pace(FAILURE_RATIO, now);
                    self.note_answer(upstream, None);
                }
                if failure.kind == UpstreamFailure::Leaving {
                    upstream.mark_leaving();
                }
                if failure.kind.makes_suspect() {
                    upstream.mark_suspect(now);
                }
                if failure.kind == UpstreamFailure::BrokenBeforeAnswer {
                    self.note_break(upstream);
                }
            }
        }
        result
    }

    /// Time after which a request that may run twice is sent elsewhere while the head of its answer
    /// is awaited; none before the usual time is known.
    fn head_limit(&self) -> Option<Duration> {
        let rule = &self.request.rule;
        if !rule.run.is_repeatable() || self.record.sends >= rule.attempts {
            return None;
        }
        let tokens = self.request.facts.prompt.prompt_tokens;
        let expected = self.core.pace.lock().expected(&self.pace_class(), tokens)?;
        let least = rule.target_latency.mul_f64(HEAD_LIMIT_PART);
        Some((expected * HEAD_LIMIT_FACTOR).max(least))
    }

    /// Takes in how long the head of an answer took.
    fn note_pace(&self, upstream: &RelayUpstream, took: Duration) {
        let tokens = self.request.facts.prompt.prompt_tokens;
        let class = self.pace_class();
        let mut pace = self.core.pace.lock();
        if let Some(ratio) = pace.ratio(&class, took, tokens) {
            upstream.note_pace(ratio, self.core.clock.now());
        }
        pace.learn(&class, took, tokens);
    }

    fn pace_class(&self) -> String {
        format!("{}/{}", self.request.rule.name, self.record.model)
    }

    fn outgoing(
        &self,
        upstream: &RelayUpstream,
        model: Option<&str>,
        last_event: Option<u64>,
    ) -> OutgoingRequest {
        let request = &self.request;
        let facts = ForwardFacts {
            upstream: upstream.id(),
            workspace: request.workspace().map(|name| name.as_str()),
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

    /// Whether the answer is dropped for one of a larger model; moves on to its stage if so.
    fn goes_on(&mut self, answer: &UpstreamAnswer, took: Duration) -> bool {
        if self.request.facts.model.is_some() || !answer.head.status.is_success() {
            return false;
        }
        let query = SizeQuery {
            stage: self.stage,
            stages: self.request.rule.cascade.len(),
            confidence: answer.facts.confidence,
            sends: self.runs,
            attempts: self.request.rule.attempts,
            took,
            time_left: self
                .request
                .final_time
                .saturating_duration_since(Instant::now()),
        };
        let (Some(next), Some(service)) = (query.next_stage(), &self.service) else {
            return false;
        };
        if !self.core.spend_repeat(service, SPARED_REPEATS) {
            return false;
        }
        spdlog::info!("larger model asked", kv: {
            request_id = self.request.id.as_str(),
            upstream = self.record.upstream.as_str(),
            confidence = answer.facts.confidence.map_or(-1, i32::from),
            stage = self.stage,
            next_stage = next,
        });
        self.stage = next;
        true
    }

    /// Reads an answer that is not a series of events to its end.
    async fn take_answer(&mut self, answer: UpstreamAnswer) -> Result<RunAnswer, SendFailure> {
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

    /// Decides whether the request is sent elsewhere.
    ///
    /// # Errors
    ///
    /// The final refusal, when it is not.
    fn settle_failure(&mut self, failure: &SendFailure) -> Result<(), RelayRefusal> {
        let left = self
            .request
            .final_time
            .saturating_duration_since(Instant::now());
        let query = RetryQuery {
            failure: failure.kind,
            earlier: self.run,
            idempotent: self.request.rule.run.is_repeatable(),
            answer_begun: false,
            attempts: self.runs.max(self.record.sends.saturating_sub(UNRUN_SENDS)),
            time_left: Some(left),
            time_needed: LEAST_SEND_TIME,
        };
        let policy = RetryPolicy {
            most_attempts: self.request.rule.attempts,
        };
        let service = self.service.clone();
        let spend = || match (&service, failure.kind) {
            (_, UpstreamFailure::ConnectFailed) => true,
            (Some(service), _) => self.core.spend_repeat(service, 0.0),
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
            _ => RefusalReason::UpstreamFailed,
        };
        Err(RelayRefusal::not_run(reason).with_run(run))
    }

    /// The upstream's own failure answer, if it gave one, else `refusal`.
    async fn last_word(
        &mut self,
        failure: SendFailure,
        refusal: RelayRefusal,
    ) -> Result<RunAnswer, RelayRefusal> {
        let Some(answer) = failure.answer else {
            return Err(refusal);
        };
        self.take_answer(answer).await.map_err(|_| refusal)
    }
}
