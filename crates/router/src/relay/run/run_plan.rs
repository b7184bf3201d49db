//! Choice of the service, version, model and upstream for the next send of a request.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use super::RelayRun;
use super::planned_send::PlannedSend;
use super::run_placement::{
    PlacementError, PlacementQuery, choose_upstream, conversation_point, random_points,
    soonest_return,
};
use super::session_hold::SessionHold;
use super::upstream_filter::UpstreamFilter;
use super::work_placement::{LateChoice, TimeCheck, request_size};
use crate::relay::paths::DETOUR_WAIT;
use crate::relay::permits::{needs_permit, take_permit};
use crate::relay::request::{RefusalReason, RelayRefusal};
use crate::relay::rollouts::{SessionKey, VersionPick};
use crate::relay::upstreams::RelayUpstream;
use ferry_decisions::names::{HostName, ServiceName, WorkspaceName};
use ferry_decisions::quarantine::CrashSubject;
use ferry_decisions::retry::{RunGate, RunState};
use ferry_decisions::workload::work_class;
use tokio::time::Instant;

/// Number of upstreams whose issuers are asked for a permit for one send.
const MAX_ASKED_UPSTREAMS: usize = 4;
/// Least time left in which a request can be answered.
const MIN_SEND_TIME: Duration = Duration::from_millis(20);
/// Fraction of the usual time to the head of an answer that must be left for a send.
const MIN_LATENCY_FRACTION: f64 = 0.25;
/// Value of Retry-After of a rejection for lack of time, as a multiple of the time after which room is expected. A lower one than 1 would
/// bring callers back before there is room; the width of the range spreads those that were rejected together.
const ROOM_RETRY_FACTOR: Range<f64> = 1.0..1.5;
/// Value of Retry-After when this router has no contact with the platform: another router can answer at once.
const DISCONNECTED_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Value of Retry-After when no zone or region of the service may be used: the operator has to act first.
const BARRED_RETRY_AFTER: Duration = Duration::from_secs(1);

impl RelayRun {
    /// Checks the request against the current rules, chooses an upstream, and takes a permit if it needs one.
    ///
    /// # Errors
    ///
    /// Fails when the rules no longer allow the request, its key may have been revoked, it is quarantined, it must not run
    /// again, or no upstream is available.
    pub(super) async fn plan_send(&mut self) -> Result<PlannedSend, RelayRefusal> {
        let drain = self.core.settings.load().bounds.drain;
        self.core.upstream_topic.settle(drain).await;
        self.core.settle_evacuations().await;
        self.check_rules()?;
        self.check_gate()?;
        self.update_start_stage();
        self.count_demand();
        self.check_share()?;
        for number in 1..=MAX_ASKED_UPSTREAMS {
            // The request must not be rejected because the first candidates were at their limits.
            let avoids_permits = number == MAX_ASKED_UPSTREAMS;
            let upstream = self.choose_reached(avoids_permits).await?;
            self.check_time()?;
            let time_left = || self.time_left();
            let now = self.core.clock.now();
            let is_permitted = needs_permit(&self.core, &upstream.record, now);
            if let Ok(permit) = take_permit(&self.core, &upstream, time_left).await {
                // Asking may have taken a while.
                self.check_time()?;
                if self.core.is_evacuated(&upstream) {
                    self.core.evacuations.count_held_send();
                    continue;
                }
                let permit = permit.map(Arc::new);
                return Ok(PlannedSend {
                    upstream,
                    permit,
                    is_permitted,
                });
            }
        }
        Err(self.refuse_for_room())
    }

    /// The refusal of a request for which no upstream has room, with the time at which one may have.
    fn refuse_for_room(&self) -> RelayRefusal {
        let soonest = self
            .service
            .as_ref()
            .and_then(|service| self.soonest_return(service));
        let refusal = RelayRefusal::not_run(RefusalReason::Busy).with_run(self.run);
        match soonest {
            Some(end) => refusal.with_retry_after(end),
            None => refusal,
        }
    }

    fn soonest_return(&self, service: &ServiceName) -> Option<Duration> {
        soonest_return(&self.core, &self.request, service, self.is_explained)
    }

    /// The refusal of a request that no upstream is expected to answer in time, with the time at which one may.
    fn refuse_for_time(&self, late: LateChoice) -> RelayRefusal {
        if !self.is_explained {
            self.log_late(&late);
        }
        let refusal = RelayRefusal::not_run(RefusalReason::NoTime).with_run(self.run);
        match late.refusal.room_in() {
            Some(room_in) => {
                let factor = rand::random_range(ROOM_RETRY_FACTOR);
                refusal.with_retry_after(room_in.mul_f64(factor))
            }
            None => refusal,
        }
    }

    /// Logs a rejection for lack of time with the figures that decided it; -1 for what is not known.
    fn log_late(&self, late: &LateChoice) {
        let millis = |time: Option<Duration>| time.map_or(-1, |time| time.as_millis() as i64);
        spdlog::info!("no upstream is expected to answer in time: {}", late.refusal, kv: {
            request_id = self.request.id.as_str(),
            rule = self.request.rule.name.as_str(),
            model = self.model().unwrap_or_default().as_str(),
            workspace = self.request.workspace().map_or("", WorkspaceName::as_str),
            expected_ms = millis(late.refusal.earliest()),
            time_left_ms = self.time_left().as_millis() as u64,
            candidates = late.candidates,
            oldest_figure_ms = millis(late.oldest_figure),
        });
    }

    /// Fails when too little time is left for an answer: nobody would use it, and another request could have the upstream's room.
    /// Also when the stop of this router would usually end the request: another router can still answer it.
    pub(super) fn check_time(&mut self) -> Result<(), RelayRefusal> {
        let reason = if self.request.time_left() < self.time_needed() && !self.begin_trial() {
            RefusalReason::DeadlinePassed
        } else if self.core.work_end.is_within(self.time_of_stop()) {
            RefusalReason::Stopping
        } else {
            return Ok(());
        };
        Err(RelayRefusal::not_run(reason).with_run(self.run))
    }

    /// Whether the request is sent now although answers of its class usually take too long: what is refused can't show that they no longer do.
    fn begin_trial(&mut self) -> bool {
        if self.request.time_left() < MIN_SEND_TIME {
            return false;
        }
        self.is_trial = self.is_trial || self.may_try(&self.sent_class());
        self.is_trial
    }

    /// Time left until the answer deadline, or until a stop ends the request.
    pub(super) fn time_left(&self) -> Duration {
        let until = self.core.work_end.limit(self.request.answer_deadline);
        until.saturating_duration_since(Instant::now())
    }

    /// Least time that must be left for the request to be sent.
    pub(super) fn time_needed(&self) -> Duration {
        let least = self.usual_time().mul_f64(MIN_LATENCY_FRACTION);
        least.max(MIN_SEND_TIME)
    }

    /// Usual time to the head of an answer; 0 if it is not known.
    fn usual_time(&self) -> Duration {
        self.usual_head().unwrap_or_default()
    }

    /// Usual time to the head of an answer; `None` if it is not known.
    pub(super) fn usual_head(&self) -> Option<Duration> {
        let tokens = self.request.facts.prompt.prompt_tokens;
        let class = self.sent_class();
        let load = &self.core.load;
        load.with_model(self.service.as_ref()?, |model| {
            model.usual_head(&class, tokens)
        })
    }

    /// Time that a stop of this router must leave for the request: that of a whole answer while the request can be answered without this send, else
    /// that of its head.
    fn time_of_stop(&self) -> Duration {
        let head = self.usual_time();
        let has_other_way = self.run == RunState::NotRun || self.has_smaller_answer;
        match has_other_way && self.core.work_end.is_set() {
            true => head.max(self.expected_time()),
            false => head,
        }
    }

    /// Time within which most of such requests are answered whole; 0 if it is not known.
    pub(super) fn expected_time(&self) -> Duration {
        let class = work_class(
            self.request.rule.name.as_str(),
            &self.model().unwrap_or_default(),
        );
        let size = request_size(&self.request);
        let estimate = self.service.as_ref().and_then(|service| {
            let load = &self.core.load;
            load.with_model(service, |model| model.estimate(&class, &size))
        });
        estimate.map_or(Duration::ZERO, |estimate| {
            estimate.head + estimate.body_high
        })
    }

    /// Whether the request may run, for the first time or again.
    pub(super) fn run_gate(&self) -> RunGate {
        RunGate {
            is_repeatable: self.request.rule.run.is_repeatable(),
            run: self.run,
        }
    }

    /// Fails when the request may have run and must not run again.
    pub(super) fn check_gate(&self) -> Result<(), RelayRefusal> {
        match self.run_gate().admits() {
            true => Ok(()),
            false => Err(RelayRefusal::not_run(RefusalReason::UpstreamFailed).with_run(self.run)),
        }
    }

    /// Applies the current rules to the request.
    pub(super) fn check_rules(&mut self) -> Result<(), RelayRefusal> {
        let refuse = |reason| RelayRefusal::not_run(reason);
        let rules = self.core.rules.load();
        let rules = rules.as_ref().ok_or(refuse(RefusalReason::NotReady))?;
        if self.core.operator_topic.position().is_none() {
            // Rules may come from another router first; which zones are evacuated is in the operator's records.
            return Err(refuse(RefusalReason::NotReady).with_run(self.run));
        }
        let revision = self.request.revision;
        self.request
            .refresh(rules)
            .map_err(|refusal| refusal.with_run(self.run))?;
        if self.service.is_none() || revision != self.request.revision {
            self.pick_service()?;
        }
        let is_out_of_touch = self.request.holder.is_some() && !self.core.is_in_touch();
        if is_out_of_touch || self.core.has_replaced_rules() {
            let refusal = refuse(RefusalReason::Disconnected).with_run(self.run);
            return Err(refusal.with_retry_after(DISCONNECTED_RETRY_AFTER));
        }
        if let Some(subject) = self.quarantined_subject() {
            if !self.is_explained {
                self.log_quarantined(&subject);
            }
            let run = match subject {
                CrashSubject::Part(_) => self.run,
                CrashSubject::Request(_) => RunState::MayHaveRun,
            };
            return Err(refuse(RefusalReason::Quarantined).with_run(run));
        }
        Ok(())
    }

    /// Chooses an upstream; if none is reached, waits once for a search of other paths, and chooses again.
    async fn choose_reached(
        &mut self,
        avoids_permits: bool,
    ) -> Result<Arc<RelayUpstream>, RelayRefusal> {
        let chosen = self.choose(avoids_permits);
        if chosen.is_ok() || !self.was_not_reached || self.has_waited_for_path {
            return chosen;
        }
        self.has_waited_for_path = true;
        self.core.paths.wait_for_search(DETOUR_WAIT).await;
        self.was_not_reached = false;
        self.choose(avoids_permits)
    }

    pub(super) fn choose(
        &mut self,
        avoids_permits: bool,
    ) -> Result<Arc<RelayUpstream>, RelayRefusal> {
        let refuse = |reason| RelayRefusal::not_run(reason);
        let model = self.model();
        let service = self
            .service
            .as_ref()
            .ok_or(refuse(RefusalReason::NoUpstream))?;
        let pick = self.pick_version(service);
        let query = self.placement_query(service, model.as_deref(), pick.as_ref());
        let check = query.check;
        let choose = |answered_at: &[HostName], check: TimeCheck| {
            let query = PlacementQuery {
                answered_at,
                check,
                avoids_permits,
                ..query
            };
            choose_upstream(&self.core, &self.request, &query)
        };
        // A larger model is asked elsewhere, so that no upstream gets all sends of a request, if there is another upstream.
        let choose_any = |check| {
            choose(&self.answered_at, check).or_else(|error| match self.answered_at.is_empty() {
                true => Err(error),
                false => choose(&[], check),
            })
        };
        let mut is_trial = false;
        let chosen = choose_any(check).or_else(|error| match error {
            PlacementError::Late(_) if check == TimeCheck::Tolerant && self.may_try_class() => {
                is_trial = true;
                choose_any(TimeCheck::Trial)
            }
            _ => Err(error),
        });
        let chosen = chosen.map_err(|error: PlacementError| {
            spdlog::debug!("request {}: {}", self.request.id, error);
            if let PlacementError::Late(refusal) = error {
                return self.refuse_for_time(refusal);
            }
            let filter = UpstreamFilter::of(&self.core, &self.request, self.core.clock.now());
            if let Some(reason) = filter.bar(service) {
                let refusal = refuse(reason).with_run(self.run);
                return refusal.with_retry_after(BARRED_RETRY_AFTER);
            }
            match self.soonest_return(service) {
                Some(_) => self.refuse_for_room(),
                None if self.rejected => refuse(RefusalReason::Busy).with_run(self.run),
                None => refuse(RefusalReason::NoUpstream).with_run(self.run),
            }
        });
        // The check of the time before the send belongs to the same trial.
        self.is_trial |= is_trial;
        chosen
    }

    /// Whether the request is sent although its class is expected to take too long: what is rejected can't show that it no longer does.
    fn may_try_class(&self) -> bool {
        let model = self.model().unwrap_or_default();
        let class = work_class(self.request.rule.name.as_str(), &model);
        self.is_trial || self.may_try(&class)
    }

    /// Whether a request of `class` is due to be sent as a trial; begins the trial unless the run only explains.
    fn may_try(&self, class: &str) -> bool {
        let now = self.core.clock.now();
        let mut trials = self.core.load.trials().lock();
        match self.is_explained {
            true => trials.is_due(class, now),
            false => trials.may_try(class, now),
        }
    }

    /// What the next send needs of its upstream, which is one of `service`.
    pub(super) fn placement_query<'a>(
        &'a self,
        service: &'a ServiceName,
        model: Option<&'a str>,
        pick: Option<&'a VersionPick>,
    ) -> PlacementQuery<'a> {
        PlacementQuery {
            service,
            model,
            failed_at: &self.failed_at,
            answered_at: &self.answered_at,
            pick,
            // An upstream that rejected a request a moment ago, or was just not reached, would most likely fail this one too.
            uses_suspects: !self.rejected && !self.was_not_reached,
            time_left: self.time_left(),
            check: match self.has_smaller_answer {
                true => TimeCheck::Strict,
                false => TimeCheck::Tolerant,
            },
            avoids_permits: false,
            points: self.points.unwrap_or_else(random_points),
        }
    }

    /// Picks the service by the rule's shares; the first pick counts the request towards the retry budget.
    pub(super) fn pick_service(&mut self) -> Result<(), RelayRefusal> {
        let point = conversation_point(&self.request);
        let service = self.request.rule.pick_service(point).cloned();
        let service = service.ok_or(RelayRefusal::not_run(RefusalReason::NoUpstream))?;
        if self.service.is_none() && !self.is_explained {
            self.core.record_new_request(&service);
        }
        self.service = Some(service);
        Ok(())
    }

    /// Version side of the request while the service has a roll-out.
    pub(super) fn pick_version(&self, service: &ServiceName) -> Option<VersionPick> {
        let gap = self.core.settings.load().bounds.session_gap;
        let session = self.request.conversation_id();
        let now = self.core.clock.now();
        let failed = self.failed_version.as_ref();
        self.core.rollouts.pick(service, session, failed, gap, now)
    }

    /// Keeps the request's conversation on the version of `upstream`.
    pub(super) fn hold_session(&mut self, upstream: &RelayUpstream) {
        // The previous send's hold is dropped first, since its drop would overwrite the new version.
        self.session = None;
        let session = self.request.facts.session.as_deref();
        if let (Some(service), Some(session)) = (&self.service, session) {
            let (core, key) = (self.core.clone(), SessionKey::new(service, session));
            self.session = Some(SessionHold::begin(core, key, &upstream.record.version));
        }
    }
}
