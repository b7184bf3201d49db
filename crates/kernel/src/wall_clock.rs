//! Wall-clock time for records and identifiers; durations are measured with the runtime's clock.

use std::time::{SystemTime, UNIX_EPOCH};

use ferry_decisions::time::UnixMillis;

/// Current wall-clock time.
pub fn now() -> UnixMillis {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    UnixMillis(elapsed.as_millis() as u64)
}
