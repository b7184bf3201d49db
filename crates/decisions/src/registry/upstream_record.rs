//! Registration entry that an upstream writes about itself.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::names::{HostName, ServiceName, VersionName, ZoneName};
use crate::time::UnixMillis;

closed_set! {
    /// Whether an upstream accepts new requests.
    pub enum UpstreamStage {
        /// In service: accepts new requests.
        Ready,
        /// About to leave: accepts no new requests.
        Draining,
    }
}

/// One incarnation of an upstream: a restart under the same id has a different start time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UpstreamIncarnation {
    /// Identifier of the upstream, which a request can be bound to.
    pub id: HostName,
    /// Start time of this incarnation; absent when the upstream does not report it.
    #[serde(rename = "born")]
    pub started_at: Option<UnixMillis>,
}

/// One registration entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Upstream, and which of its incarnations the entry describes.
    #[serde(rename = "life")]
    pub incarnation: UpstreamIncarnation,
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Version of the upstream's software.
    pub version: VersionName,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub stage: UpstreamStage,
    /// Remaining time for which it is slow after its start.
    pub warm_up: Duration,
    /// Sequence number of the entry within this incarnation.
    pub sequence: u64,
}
