//! The whole view of one relay.

use serde::{Deserialize, Serialize};

use super::ServiceStatus;
use crate::core::LifePhase;
use crate::relay::RelayCore;

/// What a relay believes at one moment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayStatus {
    /// Host.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Phase of its life.
    pub phase: LifePhase,
    /// Whether it tells the balancer that it is ready.
    pub ready: bool,
    /// Configuration in force; 0 before the first.
    pub revision: u64,
    /// Time since the configuration was last confirmed, in milliseconds.
    pub rules_age_ms: u64,
    /// Time since the upstreams' entries were last confirmed, in milliseconds.
    pub upstreams_age_ms: u64,
    /// Whether another relay tells it what the store holds.
    pub fed: bool,
    /// Relays that are registered.
    pub relays: usize,
    /// Requests in progress.
    pub in_progress: usize,
    /// Requests that are not run again, since they broke the upstreams that ran them.
    pub quarantined: usize,
    /// Services by name.
    pub services: Vec<ServiceStatus>,
    /// Roll-outs that it knows of, ended ones included.
    pub rollouts: Vec<RolloutStatus>,
}

/// A roll-out as a relay knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// Service.
    pub service: String,
    /// Version that is brought in.
    pub target: String,
    /// Phase; empty until the store was asked.
    pub phase: String,
    /// Time since the order as far as it is known, in milliseconds.
    pub elapsed_ms: u64,
}

impl RelayStatus {
    /// The view of `core` now.
    pub fn of(core: &RelayCore) -> Self {
        let settings = core.settings.load();
        let now = core.clock.now();
        let rules = core.rules.load();
        let mut rollouts = core.rollouts.map_all(|service, rollout| RolloutStatus {
            service: service.to_string(),
            target: rollout.order.target.to_string(),
            phase: rollout
                .phase
                .map(|phase| format!("{phase:?}"))
                .unwrap_or_default(),
            elapsed_ms: rollout.elapsed(now).as_millis() as u64,
        });
        rollouts.sort_by(|a, b| a.service.cmp(&b.service));
        Self {
            host: settings.host.to_string(),
            zone: settings.zone.to_string(),
            phase: core.phase(),
            ready: core.is_ready(),
            revision: rules.as_ref().map_or(0, |rules| rules.revision),
            rules_age_ms: core.contact.age().as_millis() as u64,
            upstreams_age_ms: core.listing.age().as_millis() as u64,
            fed: core.fleet.is_fed(),
            relays: core.fleet.router_count(),
            in_progress: core.work.len(),
            quarantined: core.crashes.lock().quarantined(now),
            services: ServiceStatus::all(core),
            rollouts,
        }
    }
}
