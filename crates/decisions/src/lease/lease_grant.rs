//! A lease that is held, with what supports it.

use crate::names::HostName;
use crate::time::MonotonicTime;

/// A lease that is held now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseGrant {
    /// What supports the lease.
    pub basis: LeaseBasis,
    /// First moment at which the lease no longer holds.
    pub until: MonotonicTime,
}

/// What supports a lease.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseBasis {
    /// This router read the tail of the log.
    Log,
    /// Another router read the tail of the log.
    Peer(HostName),
    /// No router heard of reads the log, and a majority of the listed hosts holds nothing newer.
    Majority {
        /// Listed hosts heard, this one included.
        heard: usize,
    },
}
