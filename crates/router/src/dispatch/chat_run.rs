//! Run of one chat completion, from its claim to its bill.

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
use super::{cascade_run, chat_pump, gate};
use crate::caller::{CallerRefusal, CallerRequest, SessionAsk};
use crate::claims::{self, ClaimGrant};
use crate::core::RouterCore;
use crate::guard::{self, ServedRequest};
use crate::quarantine::CrashTracker;
use crate::trail::{DecisionTrail, TrailEnd};
use crate::{bills, intake, trail};

/// A chat completion that is being answered; it goes on when its caller disconnects, so that
/// whatever ran is billed.
pub struct ChatRun {
    /// State of the router.
    pub core: Arc<RouterCore>,
    /// The request.
    pub request: CallerRequest,
    /// Its body.
    pub chat: ChatRequest,
    /// Decisions so far.
    pub trail: DecisionTrail,
    /// Tokens and price so far.
    pub bill: RunBill,
    /// Its dealings with the crash pool.
    pub turn: CrashTracker,
    /// Whether `bill` already holds the stage that is delivered.
    pub billed_stage: bool,
    /// The answer that is delivered, as counted by the guard.
    pub served: Option<ServedRequest>,
}

impl ChatRun {
    /// A run that has not started.
    pub fn new(core: Arc<RouterCore>, request: CallerRequest, mut chat: ChatRequest) -> Self {
        if let SessionAsk::Continue(token) = &request.session {
            chat.model.clone_from(&token.target);
        }
        let trail = trail::begin(&core, &request, &chat.model);
        let turn = CrashTracker::new(Arc::clone(&core), &request.workspace, &chat);
        Self {
            core,
            request,
            chat,
            trail,
            turn,
            bill: RunBill::default(),
            billed_stage: false,
            served: None,
        }
    }

    /// Answers the request; the head of the answer goes to `sender`.
    pub async fn execute(mut self, sender: RunSender) {
        let grant = match self.claim().await {
            Ok(grant) => grant,
            Err(refusal) => return self.refuse(refusal, sender),
        };
        match self.produce().await {
            Ok(answer) => self.deliver(answer, sender).await,
            Err(refusal) => {
                let refusal = self.give_up(refusal, grant.as_ref()).await;
                self.refuse(refusal, sender);
            }
        }
    }

    async fn claim(&self) -> Result<Option<ClaimGrant>, CallerRefusal> {
        gate::check_dispatch(&self.core, &self.request)?;
        gate::plan(&self.core.config.view(), &self.request, &self.chat.model)?;
        intake::offer(&self.core, &self.request)?;
        if self.request.idempotent {
            return Ok(None);
        }
        let grant = claims::claim(&self.core, &self.request.key()).await?;
        Ok(Some(grant))
    }

    async fn produce(&mut self) -> Result<StageAnswer, CallerRefusal> {
        let view = self.core.config.view();
        let plan = gate::plan(&view, &self.request, &self.chat.model)?;
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
            trail: &mut self.trail,
            turn: &mut self.turn,
        };
        run.execute().await
    }

    async fn deliver(mut self, answer: StageAnswer, sender: RunSender) {
        let head = self.head(&answer.version);
        self.served = answer.served;
        match answer.reply {
            EngineReply::Whole(reply) => self.deliver_whole(head, reply, sender).await,
            EngineReply::Stream(stream) => {
                chat_pump::deliver(self, head, stream, sender).await;
            }
            EngineReply::Collected(stream) => {
                chat_pump::deliver_collected(self, head, stream, sender).await;
            }
        }
    }

    async fn deliver_whole(mut self, head: RunHead, reply: WholeReply, sender: RunSender) {
        self.learn(&head.version, reply.usage);
        self.rate(reply.text);
        if !self.billed_stage {
            self.bill.add(&self.core, &head.version, reply.usage);
        }
        let outcome = if sender.is_closed() {
            BillOutcome::Cancelled
        } else {
            BillOutcome::Answered
        };
        self.settle(&head.version, outcome).await;
        let body = reply.body;
        let _ = sender.send(Ok(RunAnswer::Whole { head, body }));
    }

    /// Learns from a whole answer how long answers of `version` take.
    pub(super) fn learn(&self, version: &VersionName, usage: TokenUsage) {
        let steps = u32::try_from(usage.completion_tokens).unwrap_or(u32::MAX);
        let (now, class) = (self.core.clock.elapsed(), self.request.class);
        let intake = &self.core.intake;
        intake.with_version(version, |pool| pool.learn(now, class, steps));
    }

    /// Has the whole answer `text` rated if the guard counts it.
    pub(super) fn rate(&mut self, text: String) {
        if let Some(served) = self.served.take() {
            let request = self.rating_request(served.version(), text);
            guard::rate(&self.core, served, request);
        }
    }

    /// Asks for the rating of `answer`.
    pub(super) fn rating_request(&self, version: &VersionName, answer: String) -> RatingRequest {
        let prompt = self.chat.messages.last().and_then(|m| m.content.as_str());
        RatingRequest {
            request_id: self.request.id.clone(),
            version: version.clone(),
            prompt: prompt.unwrap_or_default().to_owned(),
            answer,
        }
    }

    /// Makes the bill durable and closes the trail.
    pub(super) async fn settle(mut self, version: &VersionName, outcome: BillOutcome) {
        if outcome == BillOutcome::Answered {
            self.turn.record_survival();
        }
        let entry = self
            .bill
            .to_entry(&self.core, &self.request, version, outcome);
        let cost = entry.cost;
        bills::release(&self.core, entry).await;
        let end = match outcome {
            BillOutcome::Answered => TrailEnd::Answered { cost },
            BillOutcome::Cancelled => TrailEnd::Cancelled,
        };
        self.finish(end);
    }

    /// Closes the trail and measures the request.
    pub(super) fn finish(mut self, end: TrailEnd) {
        let seconds = self.request.arrived.elapsed().as_secs_f64();
        metrics::histogram!(
            "ferry_request_seconds",
            "workspace" => self.request.workspace.to_string(),
            "class" => self.request.class.name(),
        )
        .record(seconds);
        self.trail.end = Some(end);
        self.core.trails.push(self.trail);
    }

    /// Voids the claim before "not run" is said.
    async fn give_up(&self, refusal: CallerRefusal, grant: Option<&ClaimGrant>) -> CallerRefusal {
        let Some(grant) = grant.filter(|_| refusal.run == RunState::NotRun) else {
            return refusal;
        };
        match claims::void(&self.core, grant).await {
            Ok(()) => refusal,
            Err(_) => refusal.with_run(RunState::MayHaveRun),
        }
    }

    fn refuse(self, refusal: CallerRefusal, sender: RunSender) {
        let end = TrailEnd::Refused {
            kind: refusal.kind.name(),
            detail: refusal.detail.clone(),
        };
        let _ = sender.send(Err(refusal));
        self.finish(end);
    }

    /// Facts for the headers; a new session is pinned here.
    fn head(&self, version: &VersionName) -> RunHead {
        let session = match &self.request.session {
            SessionAsk::None => None,
            SessionAsk::Continue(token) => Some(self.core.sessions.sign(token)),
            SessionAsk::New => Some(self.core.sessions.sign(&self.new_session(version))),
        };
        RunHead {
            request: self.request.id.clone(),
            version: version.clone(),
            session,
        }
    }

    /// A session pinned to the version that answers and to one version of each other stage.
    fn new_session(&self, version: &VersionName) -> SessionToken {
        let view = self.core.config.view();
        let plan = gate::plan(&view, &self.request, &self.chat.model);
        let pins = plan.map_or_else(
            |_| vec![version.clone()],
            |plan| pins_of(&plan, &self.request, version),
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

/// One version of each stage: the one that answered, or else the one that the request would get.
fn pins_of(plan: &RoutePlan, request: &CallerRequest, version: &VersionName) -> Vec<VersionName> {
    let pin = |stage: &RouteStage| {
        let answered = stage.versions.iter().any(|(name, _)| name == version);
        let picked = gate::pick_version(stage, request);
        if answered { version } else { picked }.clone()
    };
    plan.stages.iter().map(pin).collect()
}
