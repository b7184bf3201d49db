//! Run of one request, from the choice of its upstream to its answer.

use bytes::Bytes;
use ferry_decisions::cascade::StartChoice;
use ferry_decisions::choice::ChoicePoints;
use ferry_decisions::names::{HostName, ServiceName, VersionName};
use ferry_decisions::retry::{RunState, SmallerAnswer, UpstreamFailure};
use ferry_kernel::http::{BodyFraming, HttpBody};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use smallvec::SmallVec;
use tokio::time::Instant;
use tokio_util::task::task_tracker::TaskTrackerToken;

use super::answer_delivery::{deliver_events, deliver_whole};
use super::planned_send::PlannedSend;
use super::request_record::RequestRecord;
use super::session_hold::SessionHold;
use super::upstream_send::{SendFailure, UpstreamAnswer};
use crate::relay::relay_core::SharedCore;
use crate::relay::request::{RelayRefusal, RelayRequest};

/// A request that is being answered.
pub struct RelayRun {
    /// State shared by all parts of the relay.
    pub core: SharedCore,
    /// The caller's request, with the rule applied to it.
    pub request: RelayRequest,
    /// What has happened to the request so far, for the log and the metrics.
    pub record: RequestRecord,
    pub(super) service: Option<ServiceName>,
    /// Present stage of the rule's cascade.
    pub(super) stage: usize,
    /// Stage at which the request starts, and why; absent until it is chosen, and where the caller names the model.
    pub(super) start: Option<StartChoice>,
    /// Upstreams that failed the request.
    pub(super) failed_at: SmallVec<[HostName; 4]>,
    /// Upstreams whose answers of a smaller model were dropped.
    pub(super) answered_at: SmallVec<[HostName; 4]>,
    /// Version of the upstream that last failed the request.
    pub(super) failed_version: Option<VersionName>,
    /// Whether the last send was rejected by an upstream that is full.
    pub(super) rejected: bool,
    /// Whether the last send found its upstream not reachable.
    pub(super) was_not_reached: bool,
    /// Whether the request has waited for another path to an upstream.
    pub(super) has_waited_for_path: bool,
    /// Whether the send that is planned replaces the answer of a smaller model, which is kept if no larger one can answer in time.
    pub(super) has_smaller_answer: bool,
    /// Answer of a smaller model that was dropped for the present one.
    pub(super) smaller_answer: Option<SmallerAnswer>,
    /// Whether the request went back to the smaller model, whose answer is then kept.
    pub(super) has_returned: bool,
    /// Whether the request is sent although answers of its class usually take too long.
    pub(super) is_trial: bool,
    /// Number of sends that ran or may have run at an upstream.
    pub(super) possible_runs: u32,
    /// Whether the request ran, over all sends; `MayHaveRun` while a send is in progress.
    pub(super) run: RunState,
    /// Whether the run only explains where the request would go: it sends nothing, changes no state, and is not logged.
    pub(super) is_explained: bool,
    /// Random numbers of its choices; absent if each choice draws its own.
    pub(super) points: Option<ChoicePoints>,
    /// Keeps the request's conversation on the version of the last send.
    pub(super) session: Option<SessionHold>,
    /// Makes a stop of the relay wait until the run has ended.
    _work: TaskTrackerToken,
}

/// An answer that can be forwarded to the caller.
pub enum RunAnswer {
    /// An answer read to its end, with the framing that its upstream gave it.
    Whole(Box<Parts>, BodyFraming, Bytes),
    /// A stream of events whose head has arrived.
    Events(Box<UpstreamAnswer>),
}

impl RelayRun {
    /// A run that has not started.
    pub fn new(core: SharedCore, request: RelayRequest) -> Self {
        let record = RequestRecord::new(&request);
        let work = core.work.token();
        let points = *core.fixed_points.lock();
        Self {
            core,
            request,
            record,
            service: None,
            stage: 0,
            start: None,
            failed_at: SmallVec::new(),
            answered_at: SmallVec::new(),
            failed_version: None,
            rejected: false,
            was_not_reached: false,
            has_waited_for_path: false,
            has_smaller_answer: false,
            smaller_answer: None,
            has_returned: false,
            is_trial: false,
            possible_runs: 0,
            run: RunState::NotRun,
            is_explained: false,
            points,
            session: None,
            _work: work,
        }
    }

    /// Answers the request no later than its answer deadline.
    pub async fn answer(mut self) -> Response<HttpBody> {
        let until = self.request.answer_deadline;
        let core = self.core.clone();
        let rule = &self.request.rule.name;
        let class = core.class_metrics.begin(rule, self.request.workspace());
        self.record.class = Some(class);
        let result = core.work_end.run_until(until, self.dispatch()).await;
        let result = result.unwrap_or_else(|reason| {
            let refusal = RelayRefusal::not_run(reason);
            Err(refusal.with_run(self.run))
        });
        match result {
            Ok(RunAnswer::Whole(head, framing, body)) => {
                self.record.record_head();
                self.record.status = head.status.as_u16();
                self.record.outcome = "answered";
                deliver_whole(&head, framing, body)
            }
            Ok(RunAnswer::Events(answer)) => {
                self.record.record_head();
                self.record.status = answer.head.status.as_u16();
                deliver_events(self, *answer)
            }
            Err(refusal) => {
                self.record.record_refusal(&refusal);
                refusal.to_response()
            }
        }
    }

    /// Plans the send that follows `failure`.
    ///
    /// # Errors
    ///
    /// Returns the final refusal when the request is not sent again.
    pub async fn next_send(&mut self, failure: &SendFailure) -> Result<PlannedSend, RelayRefusal> {
        self.decide_retry(failure)?;
        self.plan_send().await
    }

    /// Resumes a stream after the event `last_event` by the send `planned`, or at another upstream if that fails.
    ///
    /// # Errors
    ///
    /// Fails when no upstream can resume the stream.
    pub async fn resume(
        &mut self,
        last_event: Option<u64>,
        mut planned: PlannedSend,
    ) -> Result<UpstreamAnswer, RelayRefusal> {
        loop {
            let failure = match self.send_to(planned, last_event).await {
                Ok(answer) if is_rest_of_stream(&answer) => return Ok(answer),
                Ok(_) => SendFailure::without_answer(UpstreamFailure::MalformedAnswer),
                Err(failure) => failure,
            };
            planned = self.next_send(&failure).await?;
        }
    }

    pub(super) async fn dispatch(&mut self) -> Result<RunAnswer, RelayRefusal> {
        let mut planned = self.plan_send().await?;
        loop {
            let sent = Instant::now();
            let result = match self.send_to(planned, None).await {
                Ok(answer) => match self.try_escalate(&answer, sent.elapsed()).await {
                    Some(next) => {
                        planned = next;
                        continue;
                    }
                    None => self.read_answer(answer).await,
                },
                Err(failure) => Err(failure),
            };
            match result {
                Ok(answer) => return Ok(answer),
                Err(failure) => {
                    if let Err(refusal) = self.decide_retry(&failure) {
                        return self.final_answer(failure, refusal).await;
                    }
                    self.return_to_smaller_model();
                    planned = self.plan_send().await?;
                }
            }
        }
    }
}

/// Whether an answer to a request for the rest of a stream is that rest, and not an error in place of it.
fn is_rest_of_stream(answer: &UpstreamAnswer) -> bool {
    answer.head.status == StatusCode::OK && answer.body_type().may_be_events()
}
