//! The upstreams and the budget of one service.

use ferry_decisions::choice::UpstreamState;
use ferry_decisions::names::ServiceName;
use serde::{Deserialize, Serialize};

use crate::relay::RelayCore;

/// A service as a relay sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name.
    pub service: String,
    /// Upstreams that get new work.
    pub live: u32,
    /// Upstreams that get none since they leave.
    pub leaving: u32,
    /// Upstreams that get none for a moment, since they broke a connection.
    pub suspect: u32,
    /// Requests of this relay in flight.
    pub in_flight: u32,
    /// Repeated sends that its budget covers now.
    pub repeats_left: f64,
}

impl ServiceStatus {
    /// All services that have upstreams, by name.
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
            in_flight: 0,
            repeats_left: core.repeats_left(service),
        };
        for upstream in core.upstreams.of_service(service).iter() {
            match upstream.view(now).state {
                UpstreamState::Live => status.live += 1,
                UpstreamState::Leaving => status.leaving += 1,
                UpstreamState::Suspect => status.suspect += 1,
            }
            status.in_flight += upstream.in_flight();
        }
        status
    }
}
