//! Explanation where a described request would go now, by the code of a real choice.

use std::sync::Arc;

use ferry_decisions::choice::ChoicePoints;
use hyper::StatusCode;

use super::RelayRun;
use super::run_placement::{explain_candidates, random_points};
use super::work_placement::expected_work;
use crate::relay::permits::needs_permit;
use crate::relay::relay_core::SharedCore;
use crate::relay::request::{RelayRefusal, RelayRequest, check_state};
use crate::relay::status::{
    CandidateReport, PlacementPoints, PlacementReport, PlacementRequest, PlacementRequestError,
    RejectionReport, StartReport,
};
use crate::relay::upstreams::RelayUpstream;

/// Explains where the request `described` would go now. Nothing is sent, no permit is taken, and no state is changed.
///
/// # Errors
///
/// Fails when the description is malformed, or no rule applies to the request.
pub fn explain_placement(
    core: &SharedCore,
    described: &PlacementRequest,
) -> Result<PlacementReport, PlacementRequestError> {
    let given = described.choice_points()?;
    let points = given
        .or(*core.fixed_points.lock())
        .unwrap_or_else(random_points);
    let rules = core.rules.load_full();
    let rules = rules.ok_or(PlacementRequestError::NotReady)?;
    let request = RelayRequest::described(described, &rules)?;
    Ok(RelayRun::explained(core, request, described, points)
        .explain(points, described.model.is_none()))
}

impl RelayRun {
    /// A run that explains the choice for `request` by `points`.
    fn explained(
        core: &SharedCore,
        mut request: RelayRequest,
        described: &PlacementRequest,
        points: ChoicePoints,
    ) -> Self {
        let cascade = request.rule.cascade.iter();
        let model = described.model.as_deref();
        let stage = cascade
            .enumerate()
            .find(|(_, name)| Some(name.as_str()) == model)
            .map(|(stage, _)| stage);
        if stage.is_none() {
            request.facts.model = described.model.clone();
        }
        let mut run = Self::new(core.clone(), request);
        run.record.is_explained = true;
        run.is_explained = true;
        run.points = Some(points);
        run.stage = stage.unwrap_or_default();
        run.failed_at = described
            .tried
            .iter()
            .map(|id| id.as_str().into())
            .collect();
        run
    }

    /// Explains the choice; the start stage is chosen only if the description names no model.
    fn explain(mut self, points: ChoicePoints, chooses_start: bool) -> PlacementReport {
        let placed = self.explain_send(chooses_start);
        let core = &self.core;
        let settings = core.settings.load();
        let service = self.service.as_ref();
        let model = self.model();
        let asks_permit =
            |upstream: &RelayUpstream| needs_permit(core, &upstream.record, core.clock.now());
        let known = service
            .and_then(|service| expected_work(core, &self.request, service, model.as_deref()));
        let model = model.or_else(|| self.request.facts.model.clone());
        PlacementReport {
            host: settings.host.to_string(),
            zone: settings.zone.to_string(),
            rule: self.request.rule.name.to_string(),
            revision: self.request.revision,
            service: service.map(ToString::to_string).unwrap_or_default(),
            model: model.unwrap_or_default(),
            start: self.start.map(|start| StartReport {
                stage: start.stage,
                reason: start.reason.as_str().to_owned(),
            }),
            by_work: known.is_some(),
            share: self.share_fraction(),
            time_left_ms: self.time_left().as_millis() as u64,
            points: PlacementPoints {
                first: points.first,
                second: points.second,
            },
            chosen: placed
                .as_ref()
                .ok()
                .map(|upstream| upstream.id().to_owned()),
            asks_permit: placed.as_ref().is_ok_and(|upstream| asks_permit(upstream)),
            rejection: placed.as_ref().err().map(rejection_report),
            candidates: self.explain_upstreams(),
            rules_age_ms: core.operator_topic.age().as_millis() as u64,
            upstreams_age_ms: core.upstream_topic.age().as_millis() as u64,
        }
    }

    /// The checks of a first send in their order, up to where a permit would be asked for; the fair share is stated and not checked, since its check
    /// is drawn at random.
    fn explain_send(&mut self, chooses_start: bool) -> Result<Arc<RelayUpstream>, RelayRefusal> {
        if let Some(reason) = check_state(&self.core) {
            return Err(RelayRefusal::not_run(reason));
        }
        self.check_rules()?;
        self.check_gate()?;
        if chooses_start {
            self.update_start_stage();
        }
        let upstream = self.choose(false)?;
        self.check_time()?;
        Ok(upstream)
    }

    fn explain_upstreams(&self) -> Vec<CandidateReport> {
        let Some(service) = self.service.as_ref() else {
            return Vec::new();
        };
        let model = self.model();
        let pick = self.pick_version(service);
        let query = self.placement_query(service, model.as_deref(), pick.as_ref());
        let mut candidates = explain_candidates(&self.core, &self.request, &query);
        candidates.sort_by(|one, other| one.upstream.cmp(&other.upstream));
        candidates
    }
}

fn rejection_report(refusal: &RelayRefusal) -> RejectionReport {
    let status = refusal.status();
    let retry_after = (status == StatusCode::SERVICE_UNAVAILABLE).then_some(refusal.retry_after);
    RejectionReport {
        reason: refusal.reason.name().to_owned(),
        detail: refusal.reason.to_string(),
        status: status.as_u16(),
        retry_after_ms: retry_after.map(|time| time.as_millis() as u64),
    }
}
