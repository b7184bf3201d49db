//! Health of a router host, by the time without news.

use std::time::Duration;

/// Time without news after which a host is suspected.
const SUSPECT_AFTER: Duration = Duration::from_secs(2);
/// Time without news after which a host is taken for dead.
const DEAD_AFTER: Duration = Duration::from_secs(10);

closed_set! {
    /// Health of a router host.
    pub enum HostHealth {
        /// News came lately.
        Live,
        /// No news for some heartbeats.
        Suspect,
        /// No news for so long that the host is no longer dialled unless it is listed.
        Dead,
    }
}

impl HostHealth {
    /// Health of a host without news for `silence`.
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
