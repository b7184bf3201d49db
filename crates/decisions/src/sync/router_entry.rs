//! Entry of a registered router.

use std::cmp::Reverse;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::names::{HostName, ZoneName};

/// Entry that a router registers in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterEntry {
    /// Name of the router's host.
    pub host: HostName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address of the port for other routers.
    pub address: SocketAddr,
    /// Speed of the host's link, in Mbit/s; 0 when it is not known.
    #[serde(default)]
    pub link_mbps: u32,
}

/// Sort key of a router in the fixed order.
pub(super) type RouterRank<'a> = (Reverse<u32>, u64, &'a HostName);

impl RouterEntry {
    /// Sort key, which is the same at every router. Faster links come first, since a sync source sends most.
    pub(super) fn rank(&self) -> RouterRank<'_> {
        let hash = xxh3_64(self.host.as_str().as_bytes());
        (Reverse(self.link_mbps), hash, &self.host)
    }
}
