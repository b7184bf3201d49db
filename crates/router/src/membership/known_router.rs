//! One life of a router as the member table knows it.

use std::time::Duration;

use ferry_decisions::guard::RouterId;
use ferry_decisions::membership::HostHealth;

/// Identity of a router with what was heard of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownRouter {
    /// Host and life of the process.
    pub router: RouterId,
    /// Whether the platform lists the host.
    pub listed: bool,
    /// Time since the last news.
    pub silence: Duration,
    /// Health by `silence`.
    pub health: HostHealth,
}
