//! An operator's order.

use std::time::Duration;

use crate::names::{ServiceName, VersionName};

/// Order to move a service's traffic to a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service.
    pub service: ServiceName,
    /// Version that is to take over.
    pub target: VersionName,
    /// Time within which it is to be done.
    pub duration: Duration,
}
