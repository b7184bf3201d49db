//! Issuers that are asked now and then, or that stand in for another one for good.

use std::collections::VecDeque;
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

/// Load pattern: more requests than the upstream runs at once, at a substitute whose first issuer is gone.
#[test]
fn a_lasting_substitute_uses_all_slots() {
    let slots = 4;
    let step = Duration::from_millis(20);
    let (begins, steps) = (200, 700);
    let mut now = MonotonicTime(0);
    let mut guard = RoomGuard::new(false, now);
    let mut running: VecDeque<(u64, MonotonicTime)> = VecDeque::new();
    let mut used = 0;
    for number in 0..steps {
        now = now.after(step);
        while running.front().is_some_and(|(_, end)| *end <= now) {
            let load = RoomLoad {
                running: running.len() as u32,
                waiting: 0,
                slots,
                age: Duration::ZERO,
            };
            let (ended, _) = running.pop_front().unwrap();
            let key = ("entry-1".into(), ended);
            guard.end(&key, PermitOutcome::Done, Some(load), Duration::ZERO, now);
        }
        let query = RoomQuery {
            key: ("entry-1".into(), number),
            survived: 3,
            slots,
            lifetime: Duration::from_secs(5),
            is_substitute: true,
        };
        if guard.take(&query, now).is_ok() {
            running.push_back((number, now.after(RUN_TIME)));
        }
        used += if number >= begins { running.len() } else { 0 };
    }
    let mean = used as f64 / (steps - begins) as f64;
    assert!(mean >= 0.75 * f64::from(slots), "{mean} of {slots} slots");
}
