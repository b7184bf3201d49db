//! Run of one call to a plain service, from its claim to its bill.

use std::sync::Arc;

use bytes::Bytes;
use ferry_decisions::bill::BillOutcome;
use ferry_decisions::names::{HostName, ServiceName, VersionName};
use ferry_decisions::retry::RunState;
use hyper::{HeaderMap, Method};
use tokio::sync::oneshot;

use super::attempt_log::AttemptLog;
use super::run_answer::ServiceAnswer;
use super::run_bill::RunBill;
use super::{gate, service_call};
use crate::caller::{CallerRefusal, CallerRequest};
use crate::claims::{ClaimError, ClaimStart, JoinedAnswer};
use crate::core::RouterCore;
use crate::joins::RequestFingerprint;
use crate::trail::{AttemptNote, AttemptResult, DecisionTrail, TrailEnd};
use crate::upstream::{FlightGuard, place_call};
use crate::{bills, claims, intake, trail};

/// What is passed on to the service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// Service that is called.
    pub service: ServiceName,
    /// Method.
    pub method: Method,
    /// Path and query, starting with `/`.
    pub path: String,
    /// Headers of the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl ServiceCall {
    /// Digest of what the call asks for.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let target = format!("{}{}", self.service, self.path);
        RequestFingerprint::new(self.method.as_str(), &target, &self.headers, &self.body)
    }
}

/// A call that is being answered; it goes on when its caller disconnects.
pub struct ServiceRun {
    core: Arc<RouterCore>,
    request: CallerRequest,
    call: ServiceCall,
    trail: DecisionTrail,
}

impl ServiceRun {
    /// A run that has not started.
    pub fn new(core: Arc<RouterCore>, request: CallerRequest, call: ServiceCall) -> Self {
        let trail = trail::begin(&core, &request, call.service.as_str());
        Self {
            core,
            request,
            call,
            trail,
        }
    }

    /// Answers the call to `sender`.
    pub async fn execute(mut self, sender: oneshot::Sender<Result<ServiceAnswer, CallerRefusal>>) {
        let result = self.answer().await;
        let end = match &result {
            Ok(_) => TrailEnd::Answered { cost: 0 },
            Err(refusal) => TrailEnd::Refused {
                kind: refusal.kind.name(),
                detail: refusal.detail.clone(),
            },
        };
        let _ = sender.send(result);
        self.trail.end = Some(end);
        self.core.trails.push(self.trail);
    }

    async fn answer(&mut self) -> Result<ServiceAnswer, CallerRefusal> {
        gate::check_dispatch(&self.core, &self.request)?;
        intake::offer(&self.core, &self.request)?;
        if self.request.idempotent {
            return self.run_and_bill().await;
        }
        let key = self.request.key();
        let print = self.call.fingerprint();
        let start = claims::claim_or_join(&self.core, &key, print, self.request.deadline).await?;
        let (grant, ticket) = match start {
            ClaimStart::Granted(grant, ticket) => (grant, ticket),
            ClaimStart::Joined(answer) => return joined(answer),
        };
        let result = self.run_and_bill().await;
        if let Ok(answer) = &result {
            ticket.finish(JoinedAnswer::from_service_answer(answer));
        }
        match result {
            Err(refusal) if refusal.run == RunState::NotRun => {
                match claims::void(&self.core, &grant).await {
                    Ok(()) => Err(refusal),
                    Err(_) => Err(refusal.with_run(RunState::MayHaveRun)),
                }
            }
            other => other,
        }
    }

    async fn run_and_bill(&mut self) -> Result<ServiceAnswer, CallerRefusal> {
        let answer = self.dispatch().await?;
        let version = VersionName::new(self.call.service.as_str());
        let outcome = BillOutcome::Answered;
        let bill = RunBill::default().to_entry(&self.core, &self.request, &version, outcome);
        bills::release(&self.core, bill).await;
        Ok(answer)
    }

    async fn dispatch(&mut self) -> Result<ServiceAnswer, CallerRefusal> {
        let mut log = AttemptLog::default();
        loop {
            let guard = self.next_upstream(log.tried());
            let guard = guard.map_err(|refusal| log.refuse(refusal))?;
            let host = Arc::clone(guard.host());
            match service_call::call(&self.core, guard, &self.request, &self.call).await {
                Ok(answer) => {
                    self.note(&host.entry.name, AttemptResult::Answered);
                    return Ok(answer);
                }
                Err(failure) => {
                    let reason = failure.to_string();
                    self.note(&host.entry.name, AttemptResult::Failed { reason });
                    log.fail(&self.core, &self.request, &host, failure, false)?;
                }
            }
        }
    }

    fn next_upstream(&self, tried: &[HostName]) -> Result<FlightGuard, CallerRefusal> {
        gate::check_dispatch(&self.core, &self.request)?;
        gate::check_service(&self.core, &self.request, &self.call.service)?;
        let hosts = self.core.upstreams.running(&self.call.service);
        place_call(&self.core, &hosts, self.request.class, tried)
    }

    fn note(&mut self, upstream: &HostName, result: AttemptResult) {
        self.trail.attempts.push(AttemptNote {
            stage: 0,
            version: VersionName::new(self.call.service.as_str()),
            upstream: upstream.clone(),
            result,
        });
    }
}

/// Answer of the run that the call joined.
fn joined(answer: JoinedAnswer) -> Result<ServiceAnswer, CallerRefusal> {
    let answer = answer.into_answer();
    answer.ok_or_else(|| ClaimError::Ran.into())
}
