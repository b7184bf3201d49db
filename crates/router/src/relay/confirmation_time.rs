//! How recently the data in force here was confirmed to be the store's newest.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Part of a bound that is reserved for sending a request to its upstream.
const SEND_MARGIN: Duration = Duration::from_millis(150);

/// Time of the last confirmation that a copy of the store's records is current, on a clock that also
/// runs while the host is suspended.
#[derive(Debug, Default)]
pub struct ConfirmationTime {
    /// Milliseconds since boot at which the newest records were certainly known; 0 before that.
    confirmed_ms: AtomicU64,
}

impl ConfirmationTime {
    /// Time since boot, including time for which the host was suspended.
    pub fn now() -> Duration {
        clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
    }

    /// Records that the data was current at `moment`, a value of [`ConfirmationTime::now`]; an older
    /// moment than the recorded one has no effect.
    pub fn confirm(&self, moment: Duration) {
        let millis = u64::try_from(moment.as_millis()).unwrap_or(u64::MAX);
        self.confirmed_ms.fetch_max(millis, Ordering::AcqRel);
    }

    /// Whether there was a confirmation.
    pub fn was_confirmed(&self) -> bool {
        self.confirmed_ms.load(Ordering::Acquire) > 0
    }

    /// Time since the last confirmation; since boot if there was none.
    pub fn age(&self) -> Duration {
        let confirmed = Duration::from_millis(self.confirmed_ms.load(Ordering::Acquire));
        Self::now().saturating_sub(confirmed)
    }

    /// Whether the data was current at `moment` or later.
    pub fn is_since(&self, moment: Duration) -> bool {
        self.confirmed_ms.load(Ordering::Acquire) >= moment.as_millis() as u64
    }

    /// Whether a change of `bound` ago is certainly known here, with a margin for sending a request.
    pub fn covers(&self, bound: Duration) -> bool {
        self.age() + SEND_MARGIN < bound
    }
}
