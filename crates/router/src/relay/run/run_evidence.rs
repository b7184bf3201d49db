//! Evidence that a run gives about its upstreams: latency, quality of versions, crashes.

use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::names::HostName;
use ferry_decisions::quarantine::{AnswerProof, CrashSubject, RequestFingerprint};
use ferry_decisions::workload::work_class;
use ferry_kernel::http::BodyFraming;
use hyper::StatusCode;
use smallvec::SmallVec;
use tokio::time::{Instant, timeout};

use super::RelayRun;
use crate::relay::paths::check_survival;
use crate::relay::rollouts::{AnswerEvidence, AnswerSign};
use crate::relay::upstreams::{LinkLease, RelayUpstream, UnprovenEnd};
use crate::relay::workload::HeadTime;

impl RelayRun {
    /// Logs a send before it is made, with the state on which the choice of the upstream is based and its age.
    pub(super) fn log_send(&self, upstream: &RelayUpstream) {
        let core = &self.core;
        let service = &upstream.record.service;
        let kind = if self.record.sends == 1 {
            "first"
        } else {
            "repeat"
        };
        metrics::counter!("ferry_relay_sends_total", "service" => service.to_string(), "kind" => kind)
            .increment(1);
        spdlog::info!("request sent", kv: {
            request_id = self.request.id.as_str(),
            service = service.as_str(),
            retries_left = format!("{:.1}", core.retries_left(service)),
            upstream = upstream.id(),
            through = upstream.detour().as_ref().map_or("", HostName::as_str),
            version = upstream.record.version.as_str(),
            model = self.record.model.as_str(),
            sends = self.record.sends,
            in_flight = upstream.in_flight(),
            revision = self.request.revision,
            rules_age_ms = core.operator_topic.age().as_millis() as u64,
            upstreams_age_ms = core.upstream_topic.age().as_millis() as u64,
        });
    }

    /// Records a failure of the upstream as evidence about its version.
    pub fn record_version_failure(&mut self, upstream: &RelayUpstream) {
        self.record_sign(upstream, AnswerSign::Failure);
        self.failed_version = Some(upstream.record.version.clone());
    }

    /// Records what is known of an answer as evidence about the upstream's version.
    pub fn record_sign(&self, upstream: &RelayUpstream, sign: AnswerSign) {
        let evidence = self.evidence(upstream, sign);
        self.core.rollouts.record(&evidence, self.core.clock.now());
    }

    /// Waits for the head of an answer; one that is overdue is recorded at once. Returns whether it was.
    pub(super) async fn watch_head<T>(
        &self,
        upstream: &RelayUpstream,
        sending: impl Future<Output = T>,
    ) -> (T, bool) {
        let evidence = self.evidence(upstream, AnswerSign::Overdue);
        let Some(limit) = self.core.rollouts.overdue_after(&evidence) else {
            return (sending.await, false);
        };
        tokio::pin!(sending);
        if let Ok(result) = timeout(limit, &mut sending).await {
            return (result, false);
        }
        self.record_sign(upstream, AnswerSign::Overdue);
        (sending.await, true)
    }

    fn evidence<'a>(&'a self, upstream: &'a RelayUpstream, sign: AnswerSign) -> AnswerEvidence<'a> {
        AnswerEvidence {
            service: &upstream.record.service,
            version: &upstream.record.version,
            class: self.request.rule.name.as_str(),
            model: &self.record.model,
            prompt_tokens: self.request.facts.prompt.prompt_tokens,
            sign,
        }
    }

    /// Records the time to the head of an answer with this status, for the upstream and for the usual time of the class.
    pub(super) fn record_latency(
        &self,
        upstream: &RelayUpstream,
        status: StatusCode,
        took: Duration,
    ) {
        let tokens = self.request.facts.prompt.prompt_tokens;
        let head = HeadTime {
            service: &upstream.record.service,
            class: &self.sent_class(),
            run_class: &self.run_class(),
            prompt_tokens: tokens,
            took,
            is_success: status.is_success(),
        };
        let now = self.core.clock.now();
        if let Some(ratio) = self.core.load.record_head(&head, now) {
            upstream.record_latency(ratio, now);
        }
    }

    /// Class of the request at the model that runs it, by the choice of the router or of the caller.
    fn run_class(&self) -> String {
        let chosen = Some(self.record.model.as_str()).filter(|model| !model.is_empty());
        let model = chosen.or(self.request.facts.model.as_deref());
        work_class(self.request.rule.name.as_str(), model.unwrap_or_default())
    }

    /// Class of the request at the model that the router last chose for it.
    pub(super) fn sent_class(&self) -> String {
        work_class(self.request.rule.name.as_str(), &self.record.model)
    }

    /// Counts a crash of `upstream` while it ran the request on a connection that went through the router `detour`, or was direct.
    ///
    /// A crash on a direct connection is checked afterwards, since the path may have been lost instead.
    pub fn record_crash(&self, upstream: &Arc<RelayUpstream>, detour: Option<&HostName>) {
        let fingerprint = self.request.fingerprint();
        let crashes = &self.core.crashes;
        let parts = self.request.facts.prompt.shareable_parts();
        let verdict = crashes.record(fingerprint, parts, &upstream.record.incarnation);
        self.log_crash(upstream, fingerprint, verdict.crashed);
        if verdict.quarantined {
            spdlog::warn!("request quarantined", kv: {
                request_id = self.request.id.as_str(),
                fingerprint = fingerprint.to_string(),
            });
        }
        if detour.is_none() {
            check_survival(&self.core, upstream);
        }
    }

    /// Counts an answer that is known to be complete. One that ended with its connection is held by its upstream, until it is known
    /// whether the upstream ended as well.
    pub fn record_completion(
        &self,
        upstream: &RelayUpstream,
        status: StatusCode,
        framing: BodyFraming,
    ) {
        let request = self.request.fingerprint();
        let parts = self.request.facts.prompt.shareable_parts();
        let parts = parts.filter(|_| status.is_success());
        match framing {
            BodyFraming::Delimited => {
                self.core.crashes.record_answer(request);
                self.core
                    .crashes
                    .record_part_answers(parts, AnswerProof::Whole);
            }
            BodyFraming::UntilClose => upstream.hold_end(UnprovenEnd {
                request,
                parts: parts.collect(),
                at: Instant::now(),
            }),
        }
    }

    /// Records that `upstream` has sent data on a connection; earlier answers that ended with theirs were then no crashes.
    pub fn record_life(&self, upstream: &RelayUpstream, lease: &LinkLease) {
        for end in upstream.take_survived_ends(lease.opened_at()) {
            self.core.crashes.record_answer(end.request);
            let parts = end.parts.iter().copied();
            self.core
                .crashes
                .record_part_answers(parts, AnswerProof::Unproven);
        }
    }

    /// Records what an answer proves about the parts of the prompt that other requests may share.
    pub fn record_part_answers(&self, proof: AnswerProof) {
        let parts = self.request.facts.prompt.shareable_parts();
        self.core.crashes.record_part_answers(parts, proof);
    }

    /// Logs a crash with its upstream's incarnation and the number of crashed upstreams known here for the request.
    fn log_crash(&self, upstream: &RelayUpstream, fingerprint: RequestFingerprint, counted: usize) {
        metrics::counter!("ferry_relay_crashes_total", "service" => upstream.record.service.to_string())
            .increment(1);
        let started_at = upstream.record.incarnation.started_at;
        spdlog::info!("upstream broke off the request", kv: {
            request_id = self.request.id.as_str(),
            fingerprint = fingerprint.to_string(),
            parts = self.shareable_parts(),
            upstream = upstream.id(),
            started_at = started_at.map_or(0, |at| at.0),
            counted = counted,
        });
    }

    /// Parts of the prompt that other requests may share, as text for a log line.
    fn shareable_parts(&self) -> String {
        let parts = self.request.facts.prompt.shareable_parts();
        let parts: SmallVec<[String; 4]> = parts.map(|part| format!("{part:x}")).collect();
        parts.join(",")
    }

    /// What the request is not run for now: itself or a part of its prompt, which crashed too many upstreams.
    pub(super) fn quarantined_subject(&self) -> Option<CrashSubject> {
        let crashes = &self.core.crashes;
        if crashes.is_empty() {
            return None;
        }
        let parts = self.request.facts.prompt.shareable_parts();
        if let Some(part) = crashes.guilty_part(parts) {
            return Some(CrashSubject::Part(part));
        }
        let fingerprint = self.request.fingerprint();
        let is_quarantined = crashes.is_quarantined(&fingerprint);
        is_quarantined.then_some(CrashSubject::Request(fingerprint))
    }

    /// Logs that the request is rejected because of the crashes known here.
    pub(super) fn log_quarantined(&self, subject: &CrashSubject) {
        spdlog::info!("request rejected as quarantined", kv: {
            request_id = self.request.id.as_str(),
            subject = subject.to_string(),
            counted = self.core.crashes.crashed(subject),
        });
    }
}
