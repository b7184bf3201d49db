//! Status of a router as its admin port shows it.

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
    /// Host of the router.
    pub host: HostName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Identifier of this life of the process.
    pub incarnation: Incarnation,
    /// Phase of its life.
    pub phase: LifecyclePhase,
    /// How far its configuration is.
    pub config: ConfigStatus,
    /// Why it admits no work; `None` when it does.
    pub lease_problem: Option<String>,
    /// Requests in progress.
    pub in_progress: usize,
    /// Sends that joined a run since the start.
    pub joined_sends: u64,
    /// Parts of the plug-ins, by name.
    pub plugins: BTreeMap<String, Value>,
}

/// Status of this router now.
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
