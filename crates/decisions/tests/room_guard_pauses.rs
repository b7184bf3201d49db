//! Issuers that are asked now and then, or that stand in for another one for good.

use std::time::Duration;

use ferry_decisions::limits::{PermitOutcome, RoomGuard, RoomLoad, RoomQuery};
use ferry_decisions::time::MonotonicTime;

/// Requests of a caller that sends one after another.
const REQUESTS: u64 = 40;
/// Rejected callers may return after a second.
const PAUSE: Duration = Duration::from_millis(1_500);
const RUN_TIME: Duration = Duration::from_millis(200);

fn served(survived: u32, is_substitute: bool) -> u64 {
    let mut now = MonotonicTime(0);
    let mut guard = RoomGuard::new(false, now);
    let mut served = 0;
    for number in 0..REQUESTS {
        now = now.after(PAUSE);
        let query = RoomQuery {
            key: ("entry-1".into(), number),
            survived,
            slots: 4,
            lifetime: Duration::from_secs(5),
            is_substitute,
        };
        if guard.take(&query, now).is_ok() {
            let ended_at = now.after(RUN_TIME);
            guard.end(
                &query.key,
                PermitOutcome::Done,
                None,
                Duration::ZERO,
                ended_at,
            );
            served += 1;
        }
    }
    served
}

/// Load pattern: less than one request per second, at an upstream whose first issuer may be gone.
#[test]
fn few_requests_are_served_by_any_issuer_whatever_the_upstream_survives() {
    for survived in 1..8 {
        for is_substitute in [false, true] {
            let served = served(survived, is_substitute);
            let most = REQUESTS * 9 / 10;
            assert!(
                served >= most,
                "{served} with {survived} survived, substitute {is_substitute}"
            );
        }
    }
}
