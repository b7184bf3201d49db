//! An operator's order to roll out a version.

use std::time::Duration;

use crate::names::{ServiceName, VersionName};

/// Order to move a service's traffic to a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Version that receives the traffic.
    pub target: VersionName,
    /// Time limit from the order to the end of the roll-out.
    pub duration: Duration,
}
