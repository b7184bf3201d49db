//! How far a published change has come.

use ferry_decisions::lease::PropagationStage;
use ferry_decisions::names::HostName;
use serde::Serialize;

/// Where a change is in force, and which hosts it waits for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ChangeProgress {
    /// Stage reached.
    pub stage: PropagationStage,
    /// Offset of the change in the configuration stream.
    pub offset: u64,
    /// Hosts that have folded the change.
    pub confirmed: Vec<HostName>,
    /// Hosts that have not, but whose freshness lease has lapsed since the change was accepted.
    pub lapsed: Vec<HostName>,
    /// Hosts that are waited for.
    pub waiting: Vec<HostName>,
}
