//! Run of one request, from its placement to its answer.

use std::sync::Arc;

use bytes::Bytes;
use ferry_decisions::names::{HostName, ServiceName, VersionName};
use ferry_decisions::retry::{RunState, UpstreamFailure};
use ferry_kernel::http::HttpBody;
use hyper::Response;
use hyper::http::response::Parts;
use smallvec::SmallVec;
use tokio::time::{Instant, timeout_at};
use tokio_util::task::task_tracker::TaskTrackerToken;

use super::answer_delivery::{deliver_events, deliver_whole};
use super::request_record::RequestRecord;
use super::session_hold::SessionHold;
use super::upstream_send::{SendFailure, UpstreamAnswer};
use crate::relay::relay_core::SharedCore;
use crate::relay::request::{RefusalReason, RelayRefusal, RelayRequest};
use crate::relay::upstreams::RelayUpstream;

/// A request that is being answered.
pub struct RelayRun {
    /// State of the relay.
    pub core: SharedCore,
    /// The request.
    pub request: RelayRequest,
    /// What happened so far.
    pub record: RequestRecord,
    pub(super) service: Option<ServiceName>,
    /// Stage of the rule's cascade.
    pub(super) stage: usize,
    /// Upstreams that had the request.
    pub(super) tried: SmallVec<[HostName; 4]>,
    /// Version whose upstream last failed the request.
    pub(super) failed_version: Option<VersionName>,
    /// Sends that did not certainly fail to run.
    pub(super) runs: u32,
    /// What all sends together say about the run; while one is under way, it may have run.
    pub(super) run: RunState,
    /// Ties its conversation to the version of the last send.
    pub(super) session: Option<SessionHold>,
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
            session: None,
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
                deliver_whole(&head, body)
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

    /// The upstream that the request is sent to after `failure`.
    ///
    /// # Errors
    ///
    /// The final refusal, when it is not sent again.
    pub fn next_upstream(
        &mut self,
        failure: &SendFailure,
    ) -> Result<Arc<RelayUpstream>, RelayRefusal> {
        self.settle_failure(failure)?;
        self.place()
    }

    /// Goes on with a stream after the event `last_event` at `upstream`, or at another one if that
    /// fails.
    ///
    /// # Errors
    ///
    /// Fails when no upstream can go on with it.
    pub async fn resume(
        &mut self,
        last_event: Option<u64>,
        mut upstream: Arc<RelayUpstream>,
    ) -> Result<UpstreamAnswer, RelayRefusal> {
        loop {
            let failure = match self.send_to(&upstream, last_event).await {
                Ok(answer) if answer.head.status.is_success() => return Ok(answer),
                Ok(_) => SendFailure::plain(UpstreamFailure::MalformedAnswer),
                Err(failure) => failure,
            };
            upstream = self.next_upstream(&failure)?;
        }
    }

    pub(super) async fn dispatch(&mut self) -> Result<RunAnswer, RelayRefusal> {
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
}
