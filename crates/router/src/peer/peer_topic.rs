//! Topics of the messages between routers.

use ferry_decisions::closed_set;

closed_set! {
    /// Topic of a message between routers.
    pub enum PeerTopic {
        /// Heartbeats and membership deltas.
        Heartbeat,
        /// Configuration records and snapshots.
        Config,
        /// Claims of requests, handled by the owner of their shard.
        Claims,
        /// Copies and transfer of bills.
        Bills,
        /// Evidence of the roll-out guard.
        Guard,
        /// Demand for the workspace limits.
        Limits,
        /// Crash evidence and quarantined fingerprints.
        Quarantine,
        /// Upstream hosts that were observed leaving.
        Hosts,
        /// Records that a router on the users' platform read from the store, for routers that don't read
        /// it.
        Feed,
        /// Limits that upstreams name, and permits to send to them, on the users' platform.
        Permits,
        /// Which routers reach an upstream, on the users' platform.
        Paths,
        /// Outstanding work, slowness and load of upstreams, on the users' platform.
        ///
        /// Named on the wire like a topic that builds before this one know and never used: they leave such a query unanswered, whereas they
        /// close a link on which a topic that they don't know arrives.
        #[serde(rename = "trail")]
        Load,
    }
}

impl PeerTopic {
    /// Name of the topic, as metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Heartbeat => "heartbeat",
            Self::Config => "config",
            Self::Claims => "claims",
            Self::Bills => "bills",
            Self::Guard => "guard",
            Self::Limits => "limits",
            Self::Quarantine => "quarantine",
            Self::Hosts => "hosts",
            Self::Feed => "feed",
            Self::Permits => "permits",
            Self::Paths => "paths",
            Self::Load => "load",
        }
    }
}
