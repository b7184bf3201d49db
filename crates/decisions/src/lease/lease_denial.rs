//! Why a router holds no freshness lease.

use crate::names::HostName;

/// Why no lease is held; the message names the remedy.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LeaseDenial {
    /// The log has records that this router does not hold.
    #[error(
        "the configuration ends before offset {own} while the log has records up to {tail}; wait until they arrive"
    )]
    Behind {
        /// Offset that this router needs next.
        own: u64,
        /// Offset that the log gives next.
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
    /// A peer reads the log, this router does not, and its last reading has become too old.
    #[error("{host} reads the log and this router does not; check this host's route to the log")]
    LogUnreachable {
        /// Peer that reads the log.
        host: HostName,
    },
    /// Neither the log nor enough of the fleet is heard.
    #[error(
        "neither the log nor a majority of the router hosts answers ({heard} of {needed} heard); check this host's network, send work to another host"
    )]
    CutOff {
        /// Listed hosts heard, this one included.
        heard: usize,
        /// Hosts that make a majority.
        needed: usize,
    },
    /// The process started in an outage of the log and has not yet heard enough of the fleet.
    #[error(
        "this process started while the log is out and recovers its configuration from a majority of the other router hosts ({heard} of {needed} heard); wait, or restore the log"
    )]
    Recovering {
        /// Other listed hosts heard.
        heard: usize,
        /// Hosts that make a majority.
        needed: usize,
    },
    /// The log does not answer and the host list was never read.
    #[error(
        "the log does not answer and the router hosts are not known; restore the log or the host list"
    )]
    NoListing,
}
