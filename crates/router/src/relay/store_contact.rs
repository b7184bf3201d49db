//! How recently the rules in force here were confirmed to be the newest.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Part of the revocation bound that is left for the way of a request to its upstream.
const REVOCATION_MARGIN: Duration = Duration::from_millis(150);

/// Time of the last confirmation, on a clock that also runs while the host is suspended.
#[derive(Debug, Default)]
pub struct StoreContact {
    /// Milliseconds since boot at which the newest rules were certainly known; 0 before that.
    confirmed_ms: AtomicU64,
}

impl StoreContact {
    /// Time since boot, suspension included.
    pub fn now() -> Duration {
        clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
    }

    /// Takes in that the rules were the newest at `moment`, as [`StoreContact::now`] gave it.
    pub fn confirm(&self, moment: Duration) {
        let millis = u64::try_from(moment.as_millis()).unwrap_or(u64::MAX);
        self.confirmed_ms.fetch_max(millis, Ordering::AcqRel);
    }

    /// Age of the last confirmation.
    pub fn age(&self) -> Duration {
        let confirmed = Duration::from_millis(self.confirmed_ms.load(Ordering::Acquire));
        Self::now().saturating_sub(confirmed)
    }

    /// Whether a key that was revoked longer than `revocation` ago is certainly known here.
    pub fn covers(&self, revocation: Duration) -> bool {
        self.age() + REVOCATION_MARGIN < revocation
    }
}
