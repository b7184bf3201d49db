//! Upstreams and retry budget of one service.

use ferry_decisions::choice::UpstreamState;
use ferry_decisions::names::ServiceName;
use serde::{Deserialize, Serialize};

use crate::relay::RelayCore;
use crate::relay::permits::{cold_rate, permit_wait};

/// State of a service as known to a relay.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub service: String,
    /// Number of upstreams that get new requests.
    pub live: u32,
    /// Number of upstreams that get no new requests because they are leaving.
    pub leaving: u32,
    /// Number of upstreams that broke or refused a connection or rejected a request a moment ago, and get no
    /// new requests while others can take them.
    pub suspect: u32,
    /// Number of upstreams that asked this relay for a pause, which has not ended; absent from relays of an older build.
    #[serde(default)]
    pub paused: u32,
    /// Rejections in a second that its upstreams survive, if they say that they are brittle; absent from relays of an older build.
    #[serde(default)]
    pub brittle: Option<u32>,
    /// Number of open permits that this relay has issued for its upstreams.
    #[serde(default)]
    pub permits_open: usize,
    /// Number of its upstreams for which this relay asks for no permit now, since there is none.
    #[serde(default)]
    pub without_permits: u32,
    /// Number of its upstreams that are cold, so that a limit on their requests is in force.
    #[serde(default)]
    pub cold: u32,
    /// Number of requests of this relay in flight.
    pub in_flight: u32,
    /// Expected time that is left of these requests, summed, in milliseconds; absent from relays of an older build.
    #[serde(default)]
    pub work_ms: u64,
    /// Number of requests that the other relays have in flight, by their reports.
    #[serde(default)]
    pub others_in_flight: u32,
    /// Expected time that is left of these requests, summed, in milliseconds.
    #[serde(default)]
    pub others_work_ms: u64,
    /// Number of retries that its budget covers now; may be a fraction or below 0.
    pub repeats_left: f64,
}

impl ServiceStatus {
    /// Status of all services that have upstreams, sorted by name.
    pub fn all(core: &RelayCore) -> Vec<Self> {
        let mut services = core.upstreams.services();
        services.sort();
        services
            .iter()
            .map(|service| Self::of(core, service))
            .collect()
    }

    fn of(core: &RelayCore, service: &ServiceName) -> Self {
        let now = core.clock.now();
        let mut status = Self {
            service: service.to_string(),
            live: 0,
            leaving: 0,
            suspect: 0,
            paused: 0,
            brittle: None,
            permits_open: core.permits.issuer().lock().open(service),
            without_permits: 0,
            cold: 0,
            in_flight: 0,
            work_ms: 0,
            others_in_flight: 0,
            others_work_ms: 0,
            repeats_left: core.retries_left(service),
        };
        for upstream in core.upstreams.of_service(service).iter() {
            match upstream.view(now).state {
                UpstreamState::Live if upstream.pause_left().is_some() => status.paused += 1,
                UpstreamState::Live => status.live += 1,
                UpstreamState::Leaving => status.leaving += 1,
                UpstreamState::Suspect => status.suspect += 1,
            }
            let survived = core.permits.limits(&upstream.record).rejections;
            status.brittle = survived.into_iter().chain(status.brittle).min();
            if permit_wait(core, &upstream.record, now).is_some() {
                status.without_permits += 1;
            }
            if cold_rate(core, &upstream.record, now).is_some() {
                status.cold += 1;
            }
            status.in_flight += upstream.in_flight();
            status.work_ms += upstream.own_work(now).as_millis() as u64;
            let others = core.load.view(&upstream.record.incarnation, now);
            status.others_in_flight = status.others_in_flight.saturating_add(others.requests);
            status.others_work_ms += others.work.as_millis() as u64;
        }
        status
    }
}
