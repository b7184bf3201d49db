//! What a request gets next: its service, version, model and upstream.

use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::cascade::EscalationQuery;
use ferry_decisions::choice::NoUpstream;
use ferry_decisions::names::ServiceName;
use ferry_decisions::retry::RunState;
use tokio::time::Instant;

use super::RelayRun;
use super::run_placement::{choose_upstream, conversation_point};
use super::session_hold::SessionHold;
use super::upstream_send::UpstreamAnswer;
use crate::relay::request::{RefusalReason, RelayRefusal};
use crate::relay::rollouts::{SessionKey, VersionPick};
use crate::relay::upstreams::RelayUpstream;

/// Repeated sends that larger models leave to requests whose upstream failed.
const SPARED_REPEATS: f64 = 3.0;
/// Time after which a caller finds another router when this one lost touch with the platform.
const OTHER_ROUTER_RETRY: Duration = Duration::from_millis(50);

impl RelayRun {
    /// Checks the request against the newest rules and chooses an upstream.
    pub(super) fn place(&mut self) -> Result<Arc<RelayUpstream>, RelayRefusal> {
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

    pub(super) fn pick_service(&mut self) -> Result<(), RelayRefusal> {
        let point = conversation_point(&self.request);
        let service = self.request.rule.pick_service(point).cloned();
        let service = service.ok_or(RelayRefusal::not_run(RefusalReason::NoUpstream))?;
        if self.service.is_none() {
            self.core.fund_repeats(&service);
        }
        self.service = Some(service);
        Ok(())
    }

    /// Version that the request gets while one is brought in.
    pub(super) fn pick_version(&self, service: &ServiceName) -> Option<VersionPick> {
        let gap = self.core.settings.load().bounds.session_gap;
        let session = self.request.affinity_text();
        let now = self.core.clock.now();
        let failed = self.failed_version.as_ref();
        self.core.rollouts.pick(service, session, failed, gap, now)
    }

    /// Ties the request's conversation to the version of `upstream`.
    pub(super) fn hold_session(&mut self, upstream: &RelayUpstream) {
        // The hold of the send before notes its end first.
        self.session = None;
        let session = self.request.facts.session.as_deref();
        if let (Some(service), Some(session)) = (&self.service, session) {
            let (core, key) = (self.core.clone(), SessionKey::new(service, session));
            self.session = Some(SessionHold::begin(core, key, &upstream.record.version));
        }
    }

    /// Model of the present stage; absent where the caller names one.
    pub(super) fn model(&self) -> Option<String> {
        if self.request.facts.model.is_some() {
            return None;
        }
        let cascade = &self.request.rule.cascade;
        let stage = self.stage.min(cascade.len().checked_sub(1)?);
        cascade.get(stage).map(ToString::to_string)
    }

    /// Whether the answer is dropped for one of a larger model; moves on to its stage if so.
    pub(super) fn goes_on(&mut self, answer: &UpstreamAnswer, took: Duration) -> bool {
        if self.request.facts.model.is_some() || !answer.head.status.is_success() {
            return false;
        }
        let query = EscalationQuery {
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
}
