//! Health of a router host, by the time since its last statement.

use std::time::Duration;

/// Time without a statement after which a host is suspect.
const SUSPECT_AFTER: Duration = Duration::from_secs(2);
/// Time without a statement after which a host counts as dead.
const DEAD_AFTER: Duration = Duration::from_secs(10);

closed_set! {
    /// Health of a router host.
    pub enum HostHealth {
        /// The newest statement is recent.
        Live,
        /// No statement for some heartbeats.
        Suspect,
        /// No statement for so long that the host is no longer dialled unless it is listed.
        Dead,
    }
}

impl HostHealth {
    /// Health of a host without a statement for the time `silence`.
    pub fn after(silence: Duration) -> Self {
        if silence < SUSPECT_AFTER {
            Self::Live
        } else if silence < DEAD_AFTER {
            Self::Suspect
        } else {
            Self::Dead
        }
    }
}
