//! Why a router holds no freshness lease.

use crate::names::HostName;

/// Reason for which no lease is held; the message contains the remedy.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LeaseDenial {
    /// The log has records that this router does not hold.
    #[error(
        "the configuration ends before offset {own} while the log has records up to {tail}; wait until they arrive"
    )]
    Behind {
        /// Offset that this router needs next.
        own: u64,
        /// Offset of the next record that the log will hold.
        tail: u64,
    },
    /// A peer holds records that this router does not hold.
    #[error(
        "{host} holds configuration records up to {next}, this router up to {own}; wait until they arrive"
    )]
    PeerAhead {
        /// Peer that is ahead.
        host: HostName,
        /// Offset that this router needs next.
        own: u64,
        /// Offset that the peer needs next.
        next: u64,
    },
    /// A peer reads the log, this router does not, and its last read of the log is too old.
    #[error("{host} reads the log and this router does not; check this host's route to the log")]
    LogUnreachable {
        /// Peer that reads the log.
        host: HostName,
    },
    /// Neither the log nor a majority of the listed hosts responds.
    #[error(
        "neither the log nor a majority of the router hosts answers ({responding} of {needed} heard); check this host's network, send work to another host"
    )]
    NoMajority {
        /// Listed hosts with a recent statement, this one included.
        responding: usize,
        /// Least number of hosts that is a majority.
        needed: usize,
    },
    /// The process started in an outage of the log and has no recent statements of a majority yet.
    #[error(
        "this process started while the log is out and recovers its configuration from a majority of the other router hosts ({responding} of {needed} heard); wait, or restore the log"
    )]
    Recovering {
        /// Other listed hosts with a recent statement.
        responding: usize,
        /// Least number of hosts that is a majority.
        needed: usize,
    },
    /// The log does not respond and the list of router hosts was never read.
    #[error(
        "the log does not answer and the router hosts are not known; restore the log or the host list"
    )]
    NoListing,
}
