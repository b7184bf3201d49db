//! Status of a router, as returned by its admin port.

use std::collections::BTreeMap;

use ferry_decisions::names::{HostName, Incarnation, ZoneName};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::config::ConfigStatus;
use crate::core::{LifecyclePhase, RouterCore};
use crate::plugin;

/// Status of one router.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouterStatus {
    /// Name of the host of the router.
    pub host: HostName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Incarnation of the router process.
    pub incarnation: Incarnation,
    /// Lifecycle phase of the process.
    pub phase: LifecyclePhase,
    /// State of its configuration.
    pub config: ConfigStatus,
    /// Why the router admits no requests; `None` when it admits them.
    pub lease_problem: Option<String>,
    /// Requests in progress.
    pub in_progress: usize,
    /// Number of sends that joined a run in progress, since the start of the process.
    pub joined_sends: u64,
    /// Status of the plug-ins, by name.
    pub plugins: BTreeMap<String, Value>,
}

/// Returns the current status of this router.
pub fn status_of(core: &RouterCore) -> RouterStatus {
    RouterStatus {
        host: core.settings.host.clone(),
        zone: core.settings.zone.clone(),
        incarnation: core.incarnation,
        phase: core.phase(),
        config: core.config.status(),
        lease_problem: core.lease.check().err().map(|problem| problem.to_string()),
        in_progress: core.work.len(),
        joined_sends: core.joins.joined(),
        plugins: plugin::all()
            .map(|plugin| (plugin.name.to_owned(), (plugin.view)(core)))
            .collect(),
    }
}
