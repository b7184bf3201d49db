//! A permit to send one request to a brittle upstream.

use std::fmt;

use ferry_decisions::names::HostName;
use ferry_decisions::registry::UpstreamIncarnation;
use ferry_decisions::time::MonotonicTime;
use ferry_platform::headers::LoadFacts;
use parking_lot::Mutex;

use super::permit_message::{PermitEvent, PermitReport, StatedLoad};
use super::permit_reports::record_report;
use crate::relay::relay_core::SharedCore;

/// Held from the issue of the permit to the end of the answer; its end is reported to the issuer when it is dropped.
pub struct SendPermit {
    core: SharedCore,
    issuer: HostName,
    upstream: UpstreamIncarnation,
    number: u64,
    /// End of its lifetime.
    until: MonotonicTime,
    state: Mutex<PermitState>,
}

/// What is known of the request.
#[derive(Debug)]
struct PermitState {
    /// What is reported at the end; absent if the permit was not issued.
    event: Option<PermitEvent>,
    /// Whether the request may have reached the upstream.
    is_sent: bool,
    /// Load that the answer stated, and when it came.
    load: Option<(LoadFacts, MonotonicTime)>,
}

impl SendPermit {
    /// A permit that `issuer` has issued under `number`, which ends at `until`.
    pub(super) fn new(
        core: SharedCore,
        issuer: HostName,
        upstream: UpstreamIncarnation,
        number: u64,
        until: MonotonicTime,
    ) -> Self {
        Self {
            core,
            issuer,
            upstream,
            number,
            until,
            state: Mutex::new(PermitState {
                event: Some(PermitEvent::Unused),
                is_sent: false,
                load: None,
            }),
        }
    }

    /// Records that the request is sent now.
    pub fn record_send(&self) {
        self.state.lock().is_sent = true;
    }

    /// Records that it was not sent after all.
    pub fn record_unsent(&self) {
        self.state.lock().is_sent = false;
    }

    /// Records that the head of the answer has come, with the load that it states; `goes_on` if the rest comes much later, and its end is recorded.
    pub fn record_head(&self, load: Option<LoadFacts>, goes_on: bool) {
        let now = self.core.clock.now();
        let load = load.map(|load| (load, now));
        if goes_on {
            // The next load makes up for one that is lost.
            self.report(self.report_of(PermitEvent::Answering, load), now);
            return;
        }
        let mut state = self.state.lock();
        state.event = Some(PermitEvent::Done);
        state.load = load;
    }

    /// Records that the rest of the answer has come.
    pub fn record_end(&self) {
        let mut state = self.state.lock();
        if state.event == Some(PermitEvent::Unused) {
            state.event = Some(PermitEvent::Done);
        }
    }

    /// Records that the permit was not issued, so that its end is not reported.
    pub(super) fn record_refusal(&self) {
        self.state.lock().event = None;
    }

    /// Records that the upstream rejected the request for want of room, with the load that it states.
    pub fn record_rejection(&self, load: Option<LoadFacts>) {
        let now = self.core.clock.now();
        let mut state = self.state.lock();
        state.event = Some(PermitEvent::Rejected);
        state.load = load.map(|load| (load, now));
    }

    fn report_of(
        &self,
        event: PermitEvent,
        load: Option<(LoadFacts, MonotonicTime)>,
    ) -> PermitReport {
        let now = self.core.clock.now();
        let age_ms = load.map_or(0, |(_, at)| now.since(at).as_millis() as u64);
        let load = load.map(|(facts, _)| stated_load(facts, age_ms));
        PermitReport {
            upstream: self.upstream.clone(),
            number: self.number,
            event,
            was_sent: false,
            age_ms,
            load,
        }
    }

    fn report(&self, report: PermitReport, until: MonotonicTime) {
        record_report(&self.core, &self.issuer, report, until);
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        let state = self.state.lock();
        let (event, is_sent, load) = (state.event, state.is_sent, state.load);
        drop(state);
        if let Some(event) = event {
            let report = PermitReport {
                was_sent: is_sent && event == PermitEvent::Unused,
                ..self.report_of(event, load)
            };
            self.report(report, self.until);
        }
    }
}

impl fmt::Debug for SendPermit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("SendPermit")
            .field("upstream", &self.upstream)
            .field("number", &self.number)
            .finish_non_exhaustive()
    }
}

/// `facts`, which were stated `age_ms` milliseconds ago, as a message.
pub(super) fn stated_load(facts: LoadFacts, age_ms: u64) -> StatedLoad {
    StatedLoad {
        running: facts.running,
        waiting: facts.waiting,
        slots: facts.slots,
        age_ms,
    }
}
