//! Runs one call to a plain service, from its claim to its bill.

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
use super::{dispatch_checks, service_call};
use crate::caller::{CallerRefusal, CallerRequest};
use crate::claims::{ClaimError, ClaimStart, JoinedAnswer};
use crate::core::RouterCore;
use crate::joins::RequestFingerprint;
use crate::trace::{AttemptRecord, AttemptResult, DecisionTrace, TraceOutcome};
use crate::upstream::{InFlightGuard, place_service_call};
use crate::{admission, bills, claims, trace};

/// Call that is forwarded to a service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// Name of the called service.
    pub service: ServiceName,
    /// HTTP method.
    pub method: Method,
    /// Path and query, starting with `/`.
    pub path: String,
    /// Headers sent by the caller; only those that describe the body are forwarded.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
}

impl ServiceCall {
    /// Digest of the method, target, relevant headers and body; sends of one request must have the
    /// same digest.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let target = format!("{}{}", self.service, self.path);
        RequestFingerprint::new(self.method.as_str(), &target, &self.headers, &self.body)
    }
}

/// Run of a service call; it continues when the caller disconnects.
pub struct ServiceRun {
    core: Arc<RouterCore>,
    request: CallerRequest,
    call: ServiceCall,
    trace: DecisionTrace,
}

impl ServiceRun {
    /// Creates a run without starting it.
    pub fn new(core: Arc<RouterCore>, request: CallerRequest, call: ServiceCall) -> Self {
        let trace = trace::begin(&core, &request, call.service.as_str());
        Self {
            core,
            request,
            call,
            trace,
        }
    }

    /// Runs the call and sends its result to `sender`.
    pub async fn execute(mut self, sender: oneshot::Sender<Result<ServiceAnswer, CallerRefusal>>) {
        let result = self.answer().await;
        let end = match &result {
            Ok(_) => TraceOutcome::Answered { cost: 0 },
            Err(refusal) => TraceOutcome::Refused {
                kind: refusal.kind.name(),
                detail: refusal.detail.clone(),
            },
        };
        let _ = sender.send(result);
        self.trace.end = Some(end);
        self.core.traces.push(self.trace);
    }

    async fn answer(&mut self) -> Result<ServiceAnswer, CallerRefusal> {
        dispatch_checks::check_dispatch(&self.core, &self.request)?;
        admission::check_limit(&self.core, &self.request)?;
        if self.request.idempotent {
            return self.run_and_bill().await;
        }
        let key = self.request.key();
        let fingerprint = self.call.fingerprint();
        let start =
            claims::claim_or_join(&self.core, &key, fingerprint, self.request.deadline).await?;
        let (grant, handle) = match start {
            ClaimStart::Granted(grant, handle) => (grant, handle),
            ClaimStart::Joined(answer) => return joined_answer(answer),
        };
        let result = self.run_and_bill().await;
        if let Ok(answer) = &result {
            handle.finish(JoinedAnswer::from_service_answer(answer));
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
            let guard = guard.map_err(|refusal| log.final_refusal(refusal))?;
            let host = Arc::clone(guard.host());
            match service_call::call(&self.core, guard, &self.request, &self.call).await {
                Ok(answer) => {
                    self.record_attempt(&host.entry.name, AttemptResult::Answered);
                    return Ok(answer);
                }
                Err(failure) => {
                    let reason = failure.to_string();
                    self.record_attempt(&host.entry.name, AttemptResult::Failed { reason });
                    log.record_failure(&self.core, &self.request, &host, failure, false)?;
                }
            }
        }
    }

    fn next_upstream(&self, tried: &[HostName]) -> Result<InFlightGuard, CallerRefusal> {
        dispatch_checks::check_dispatch(&self.core, &self.request)?;
        dispatch_checks::check_service(&self.core, &self.request, &self.call.service)?;
        let hosts = self.core.upstreams.running(&self.call.service);
        place_service_call(&self.core, &hosts, self.request.class, tried)
    }

    fn record_attempt(&mut self, upstream: &HostName, result: AttemptResult) {
        self.trace.attempts.push(AttemptRecord {
            stage: 0,
            version: VersionName::new(self.call.service.as_str()),
            upstream: upstream.clone(),
            result,
        });
    }
}

/// Converts the answer of the run that the call joined; fails when that answer is not available.
fn joined_answer(answer: JoinedAnswer) -> Result<ServiceAnswer, CallerRefusal> {
    let answer = answer.into_answer();
    answer.ok_or_else(|| ClaimError::Ran.into())
}
