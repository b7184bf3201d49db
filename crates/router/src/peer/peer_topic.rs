//! Topics of the messages between routers.

use ferry_decisions::closed_set;

closed_set! {
    /// What a message between routers is about.
    pub enum PeerTopic {
        /// Heartbeats and membership deltas.
        Heartbeat,
        /// Configuration records and snapshots.
        Config,
        /// Claims of requests at the owner of their shard.
        Claims,
        /// Copies and hand-over of bills.
        Bills,
        /// Evidence of the roll-out guard.
        Guard,
        /// Demand for the workspace limits.
        Limits,
        /// Crash evidence and quarantined fingerprints.
        Quarantine,
        /// Upstream hosts seen leaving.
        Hosts,
        /// Look-ups of decision trails.
        Trail,
        /// What a router on the users' platform read of the store, for those that don't read it.
        Feed,
    }
}

impl PeerTopic {
    /// The topic's name as metric label.
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
            Self::Trail => "trail",
            Self::Feed => "feed",
        }
    }
}
