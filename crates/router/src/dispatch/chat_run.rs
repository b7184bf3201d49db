//! Runs one chat completion, from its claim to its bill.

use std::sync::Arc;

use ferry_decisions::bill::BillOutcome;
use ferry_decisions::names::VersionName;
use ferry_decisions::retry::RunState;
use ferry_decisions::routing::{RoutePlan, RouteStage};
use ferry_decisions::session::SessionToken;
use ferry_kernel::wall_clock;
use ferry_platform::engine::{ChatRequest, TokenUsage};
use ferry_platform::ratings::RatingRequest;
use uuid::Uuid;

use super::engine_call::{EngineReply, WholeReply};
use super::run_answer::{RunAnswer, RunHead, RunSender};
use super::run_bill::RunBill;
use super::stage_run::{StageAnswer, StageRun};
use super::{cascade_run, chat_forwarder, dispatch_checks};
use crate::caller::{CallerRefusal, CallerRequest, SessionRequest};
use crate::claims::{self, ClaimGrant};
use crate::core::RouterCore;
use crate::guard::{self, ServedRequest};
use crate::quarantine::CrashTracker;
use crate::trace::{DecisionTrace, TraceOutcome};
use crate::{admission, bills, trace};

/// Run of a chat completion. It continues when the caller disconnects, so that all work done is
/// billed.
pub struct ChatRun {
    /// Shared state of the router.
    pub core: Arc<RouterCore>,
    /// Request as read from the headers.
    pub request: CallerRequest,
    /// Request body.
    pub chat: ChatRequest,
    /// Decisions made so far.
    pub trace: DecisionTrace,
    /// Tokens used and price due so far.
    pub bill: RunBill,
    /// Placement state of the request in crash containment.
    pub crash_tracker: CrashTracker,
    /// Whether `bill` already includes the delivered stage.
    pub is_stage_billed: bool,
    /// The delivered answer as counted by the guard; `None` outside of roll-outs.
    pub served: Option<ServedRequest>,
}

impl ChatRun {
    /// Creates a run without starting it.
    pub fn new(core: Arc<RouterCore>, request: CallerRequest, mut chat: ChatRequest) -> Self {
        if let SessionRequest::Continue(token) = &request.session {
            chat.model.clone_from(&token.target);
        }
        let trace = trace::begin(&core, &request, &chat.model);
        let crash_tracker = CrashTracker::new(Arc::clone(&core), &request.workspace, &chat);
        Self {
            core,
            request,
            chat,
            trace,
            crash_tracker,
            bill: RunBill::default(),
            is_stage_billed: false,
            served: None,
        }
    }

    /// Runs the request and sends the head of its answer, or the refusal, to `sender`.
    pub async fn execute(mut self, sender: RunSender) {
        let grant = match self.claim().await {
            Ok(grant) => grant,
            Err(refusal) => return self.refuse(refusal, sender),
        };
        match self.answer().await {
            Ok(answer) => self.deliver(answer, sender).await,
            Err(refusal) => {
                let refusal = self.void_claim(refusal, grant.as_ref()).await;
                self.refuse(refusal, sender);
            }
        }
    }

    async fn claim(&self) -> Result<Option<ClaimGrant>, CallerRefusal> {
        dispatch_checks::check_dispatch(&self.core, &self.request)?;
        dispatch_checks::plan(&self.core.config.view(), &self.request, &self.chat.model)?;
        admission::check_limit(&self.core, &self.request)?;
        if self.request.idempotent {
            return Ok(None);
        }
        let grant = claims::claim(&self.core, &self.request.key()).await?;
        Ok(Some(grant))
    }

    async fn answer(&mut self) -> Result<StageAnswer, CallerRefusal> {
        let view = self.core.config.view();
        let plan = dispatch_checks::plan(&view, &self.request, &self.chat.model)?;
        let last = plan.stages.len() - 1;
        if last == 0 || !self.request.idempotent {
            return self.run_stage(last, false).await;
        }
        cascade_run::execute(self, last).await
    }

    /// Runs one stage; `keep_text` keeps the text of its answer.
    pub(super) async fn run_stage(
        &mut self,
        stage: usize,
        keep_text: bool,
    ) -> Result<StageAnswer, CallerRefusal> {
        let run = StageRun {
            core: &self.core,
            request: &self.request,
            chat: &self.chat,
            stage,
            keep_text,
            trace: &mut self.trace,
            crash_tracker: &mut self.crash_tracker,
        };
        run.execute().await
    }

    async fn deliver(mut self, answer: StageAnswer, sender: RunSender) {
        let head = self.answer_head(&answer.version);
        self.served = answer.served;
        match answer.reply {
            EngineReply::Whole(reply) => self.deliver_whole(head, reply, sender).await,
            EngineReply::Stream(stream) => {
                chat_forwarder::deliver(self, head, stream, sender).await;
            }
            EngineReply::Collected(stream) => {
                chat_forwarder::deliver_collected(self, head, stream, sender).await;
            }
        }
    }

    async fn deliver_whole(mut self, head: RunHead, reply: WholeReply, sender: RunSender) {
        self.record_answer(&head.version, reply.usage);
        self.request_rating(reply.text);
        if !self.is_stage_billed {
            self.bill.add(&self.core, &head.version, reply.usage);
        }
        let outcome = if sender.is_closed() {
            BillOutcome::Cancelled
        } else {
            BillOutcome::Answered
        };
        self.bill_and_finish(&head.version, outcome).await;
        let body = reply.body;
        let _ = sender.send(Ok(RunAnswer::Whole { head, body }));
    }

    /// Records the engine steps of a complete answer for the service time estimate of `version`.
    pub(super) fn record_answer(&self, version: &VersionName, usage: TokenUsage) {
        let steps = u32::try_from(usage.completion_tokens).unwrap_or(u32::MAX);
        let (now, class) = (self.core.clock.elapsed(), self.request.class);
        let admission = &self.core.admission;
        admission.with_version(version, |pool| pool.record_steps(now, class, steps));
    }

    /// Requests a rating of the complete answer `text` if the guard counts it.
    pub(super) fn request_rating(&mut self, text: String) {
        if let Some(served) = self.served.take() {
            let request = self.rating_request(served.version(), text);
            guard::rate(&self.core, served, request);
        }
    }

    /// Builds the rating request for `answer`.
    pub(super) fn rating_request(&self, version: &VersionName, answer: String) -> RatingRequest {
        let prompt = self.chat.messages.last().and_then(|m| m.content.as_str());
        RatingRequest {
            request_id: self.request.id.clone(),
            version: version.clone(),
            prompt: prompt.unwrap_or_default().to_owned(),
            answer,
        }
    }

    /// Makes the bill durable, then closes the decision trace.
    pub(super) async fn bill_and_finish(mut self, version: &VersionName, outcome: BillOutcome) {
        if outcome == BillOutcome::Answered {
            self.crash_tracker.record_survival();
        }
        let entry = self
            .bill
            .to_entry(&self.core, &self.request, version, outcome);
        let cost = entry.cost;
        bills::release(&self.core, entry).await;
        let end = match outcome {
            BillOutcome::Answered => TraceOutcome::Answered { cost },
            BillOutcome::Cancelled => TraceOutcome::Cancelled,
        };
        self.finish(end);
    }

    /// Closes the decision trace and records the duration of the request.
    pub(super) fn finish(mut self, end: TraceOutcome) {
        let seconds = self.request.arrived.elapsed().as_secs_f64();
        metrics::histogram!(
            "ferry_request_seconds",
            "workspace" => self.request.workspace.to_string(),
            "class" => self.request.class.name(),
        )
        .record(seconds);
        self.trace.end = Some(end);
        self.core.traces.push(self.trace);
    }

    /// Voids the claim before the caller is told that the request did not run.
    ///
    /// If the claim cannot be voided, the refusal says that the request may have run.
    async fn void_claim(
        &self,
        refusal: CallerRefusal,
        grant: Option<&ClaimGrant>,
    ) -> CallerRefusal {
        let Some(grant) = grant.filter(|_| refusal.run == RunState::NotRun) else {
            return refusal;
        };
        match claims::void(&self.core, grant).await {
            Ok(()) => refusal,
            Err(_) => refusal.with_run(RunState::MayHaveRun),
        }
    }

    fn refuse(self, refusal: CallerRefusal, sender: RunSender) {
        let end = TraceOutcome::Refused {
            kind: refusal.kind.name(),
            detail: refusal.detail.clone(),
        };
        let _ = sender.send(Err(refusal));
        self.finish(end);
    }

    /// Response headers of the answer; pins the versions of a new session.
    fn answer_head(&self, version: &VersionName) -> RunHead {
        let session = match &self.request.session {
            SessionRequest::None => None,
            SessionRequest::Continue(token) => Some(self.core.sessions.sign(token)),
            SessionRequest::New => Some(self.core.sessions.sign(&self.new_session(version))),
        };
        RunHead {
            request: self.request.id.clone(),
            version: version.clone(),
            session,
        }
    }

    /// Creates a session pinned to the answering version and to one version of each other stage.
    fn new_session(&self, version: &VersionName) -> SessionToken {
        let view = self.core.config.view();
        let plan = dispatch_checks::plan(&view, &self.request, &self.chat.model);
        let pins = plan.map_or_else(
            |_| vec![version.clone()],
            |plan| session_pins(&plan, &self.request, version),
        );
        SessionToken {
            id: Uuid::new_v4(),
            workspace: self.request.workspace.clone(),
            target: self.chat.model.clone(),
            pins,
            started: wall_clock::now(),
        }
    }
}

/// One version of each stage: the answering version, or else the one picked for the request.
fn session_pins(
    plan: &RoutePlan,
    request: &CallerRequest,
    version: &VersionName,
) -> Vec<VersionName> {
    let pin = |stage: &RouteStage| {
        let answered = stage.versions.iter().any(|(name, _)| name == version);
        let picked = dispatch_checks::pick_version(stage, request);
        if answered { version } else { picked }.clone()
    };
    plan.stages.iter().map(pin).collect()
}
