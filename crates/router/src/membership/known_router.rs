//! One router process as known to the member table.

use std::time::Duration;

use ferry_decisions::guard::RouterId;
use ferry_decisions::membership::HostHealth;

/// Identity, listing and health of a router process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownRouter {
    /// Host and incarnation of the process.
    pub router: RouterId,
    /// Whether the platform lists the host.
    pub listed: bool,
    /// Time since its last report.
    pub silence: Duration,
    /// Health derived from `silence`.
    pub health: HostHealth,
}
