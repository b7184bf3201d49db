//! Status of one relay.

use serde::{Deserialize, Serialize};

use super::ServiceStatus;
use crate::core::LifecyclePhase;
use crate::relay::RelayCore;

/// State of a relay at one moment, as its status page shows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayStatus {
    /// Name of the host.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Lifecycle phase.
    pub phase: LifecyclePhase,
    /// Whether it reports to the load balancer that it is ready.
    pub ready: bool,
    /// Revision of the configuration in force; 0 before the first one.
    pub revision: u64,
    /// Later revision that another relay has in force; absent if none is known.
    #[serde(default)]
    pub missing_revision: Option<u64>,
    /// Number of its rules that cannot be read, whose requests are refused.
    #[serde(default)]
    pub unreadable_rules: usize,
    /// Whether the newest configuration cannot be read at all, so that the one in force is confirmed no more.
    #[serde(default)]
    pub newest_unreadable: bool,
    /// Time since the configuration was last confirmed, in milliseconds.
    pub rules_age_ms: u64,
    /// Time since the upstreams' entries were last confirmed, in milliseconds.
    pub upstreams_age_ms: u64,
    /// Whether it gets the store's content from another relay instead of the store.
    pub fed: bool,
    /// Number of registered relays.
    pub relays: usize,
    /// Bytes that it has sent to other relays.
    #[serde(default)]
    pub peer_sent_bytes: u64,
    /// Relay to which it reports its load; empty while it reports none.
    #[serde(default)]
    pub pool_host: String,
    /// Number of requests in progress.
    pub in_progress: usize,
    /// Number of requests that are not run again, because they crashed the upstreams that ran them.
    pub quarantined: usize,
    /// Availability zones to whose upstreams nothing is sent, because the operator evacuated them, sorted by name.
    #[serde(default)]
    pub evacuated_zones: Vec<String>,
    /// Services that have upstreams, sorted by name.
    pub services: Vec<ServiceStatus>,
    /// Roll-outs known to the relay, including ended ones, sorted by service.
    pub rollouts: Vec<RolloutStatus>,
}

/// State of a roll-out as known to a relay.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// Name of the service.
    pub service: String,
    /// Version that is rolled out.
    pub target: String,
    /// Phase; empty until it was read from the store or another relay.
    pub phase: String,
    /// Time since the order, as far as known here, in milliseconds.
    pub elapsed_ms: u64,
}

impl RelayStatus {
    /// Current status of the relay with the state `core`.
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
            missing_revision: core.operator_topic.missing(),
            unreadable_rules: rules.as_ref().map_or(0, |rules| rules.unreadable_count()),
            newest_unreadable: core.operator_topic.is_unreadable(),
            rules_age_ms: core.operator_topic.age().as_millis() as u64,
            upstreams_age_ms: core.upstream_topic.age().as_millis() as u64,
            fed: core.fleet.is_synced_from_peer(),
            relays: core.fleet.router_count(),
            peer_sent_bytes: core.fleet.hub().map_or(0, |hub| hub.sent_bytes()),
            pool_host: core
                .load
                .pool_host()
                .map_or_else(String::new, |host| host.to_string()),
            in_progress: core.work.len(),
            quarantined: core.crashes.quarantined(),
            evacuated_zones: core
                .evacuations
                .zones(now)
                .iter()
                .map(ToString::to_string)
                .collect(),
            services: ServiceStatus::all(core),
            rollouts,
        }
    }
}
