//! Freshness lease: whether a router's configuration is recent enough to admit work.
//!
//! Evidence is dated from the moment at which it was requested, so a delay of any length, or a pause
//! of either process, only makes it older. With `F` as the freshness limit:
//!
//! - A read of the log that began at `t` and found the tail `n` supports a lease until `t + F` for a
//!   router that holds all records below `n`, whichever router made the read.
//! - Without such a read, statements of a majority of the listed router hosts support a lease until
//!   `F` after the oldest of them was requested, if none of these hosts holds a newer record.
//!
//! A record counts as accepted once a majority of the listed hosts held it at one moment. A lease of
//! a router without the record then ends within `F`, since its evidence was requested before the
//! record was appended, or before a host common to both majorities received it. A process that
//! restarted may have lost records that it confirmed before, so it does not count towards a majority
//! until it has recovered: from the log, or from a majority of the other hosts.

mod freshness_lease;
mod host_majority;
mod lease_denial;
mod lease_grant;
mod peer_statement;
mod propagation_tracker;
mod tail_frontier;

pub(crate) use host_majority::majority_of;

pub use freshness_lease::{FreshnessLease, LeaseOwner};
pub use lease_denial::LeaseDenial;
pub use lease_grant::{LeaseBasis, LeaseGrant};
pub use peer_statement::{LogObservation, PeerStatement};
pub use propagation_tracker::{PropagationStage, PropagationStatus, PropagationTracker};
