//! Settings of the peer port.

use std::net::SocketAddr;

use ferry_decisions::names::{HostName, Incarnation, ZoneName};

/// Address, secret and identity with which a router links to its fleet.
#[derive(Clone)]
pub struct PeerSettings {
    /// Address of the peer port; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Secret that all routers of the fleet share.
    pub secret: String,
    /// Name of this host.
    pub host: HostName,
    /// Availability zone of this host.
    pub zone: ZoneName,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
}

impl std::fmt::Debug for PeerSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "PeerSettings({} at {})", self.host, self.listen)
    }
}
