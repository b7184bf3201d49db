//! What an upstream says of itself.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::names::{HostName, ServiceName, VersionName, ZoneName};
use crate::time::UnixMillis;

closed_set! {
    /// Whether an upstream takes new work.
    pub enum UpstreamStage {
        /// In service.
        Ready,
        /// About to leave.
        Draining,
    }
}

/// One life of an upstream: a restart under the same id has another start time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UpstreamLife {
    /// Identifier, which a request can be bound to.
    pub id: HostName,
    /// Start of this life, where the upstream tells it.
    pub born: Option<UnixMillis>,
}

/// One entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Which life of which upstream.
    pub life: UpstreamLife,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Version of its software.
    pub version: VersionName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub stage: UpstreamStage,
    /// Time for which it is still slow after its start.
    pub warm_up: Duration,
    /// Number of the entry within this life.
    pub sequence: u64,
}
