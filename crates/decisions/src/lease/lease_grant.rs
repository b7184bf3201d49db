//! A lease that is held, with the evidence that supports it.

use crate::names::HostName;
use crate::time::MonotonicTime;

/// Lease that is held now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Evidence that supports the lease.
    pub basis: LeaseBasis,
    /// First moment at which the lease no longer holds.
    pub until: MonotonicTime,
}

/// Kind of evidence that supports a lease.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseBasis {
    /// This router read the tail of the log.
    Log,
    /// Another router read the tail of the log.
    Peer(HostName),
    /// No peer reads the log, and a majority of the listed hosts holds no newer record.
    Majority {
        /// Listed hosts with a recent statement, this one included.
        #[serde(rename = "heard")]
        responding: usize,
    },
}
