//! Propagation progress of a published change.

use ferry_decisions::lease::PropagationStage;
use ferry_decisions::names::HostName;
use serde::Serialize;

/// Stage of a change, with the hosts that have and have not confirmed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ChangeProgress {
    /// Propagation stage that the change has reached.
    pub stage: PropagationStage,
    /// Offset of the change in the configuration stream.
    pub offset: u64,
    /// Hosts that have folded the change.
    pub confirmed: Vec<HostName>,
    /// Hosts that have not folded the change, but whose freshness lease has lapsed since it was
    /// accepted; empty until the change is in force.
    pub lapsed: Vec<HostName>,
    /// Hosts that the change still waits for.
    pub waiting: Vec<HostName>,
}
