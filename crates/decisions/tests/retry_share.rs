//! Shares of the fleet's retries: their sum over all routers, and what one router may spend.

use std::time::Duration;

use ferry_decisions::retry::{FleetRetryBound, RetryShare, RetryShareConfig};
use ferry_decisions::time::MonotonicTime;
use proptest::prelude::*;

const BOUND: FleetRetryBound = FleetRetryBound {
    ratio: 0.9,
    burst: 24.0,
    window: Duration::from_secs(10),
};
/// Number of routers of the model.
const ROUTERS: usize = 8;
/// Time of the first event of the model, in milliseconds; late enough that each router has a share of the burst.
const MODEL_START_MS: u64 = 60_000;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::default().after(Duration::from_millis(millis))
}

/// Share of a router of the model that has run for a long time.
fn mature() -> RetryShareConfig {
    BOUND.share(Some(ROUTERS), Duration::from_secs(60))
}

/// What happens at one router.
#[derive(Debug, Clone, Copy)]
enum RouterEvent {
    /// This many new requests arrive.
    Requests(u32),
    /// This many sends fail and could be repeated.
    Failures(u32),
    /// The process is killed and starts again.
    Restart,
}

/// Time since the event before in milliseconds, router, and event.
type ModelEvent = (u64, usize, RouterEvent);

/// Events with much traffic and few restarts.
fn busy_fleet() -> impl Strategy<Value = Vec<ModelEvent>> {
    let event = prop_oneof![
        4 => (1_u32..30).prop_map(RouterEvent::Requests),
        4 => (1_u32..60).prop_map(RouterEvent::Failures),
        1 => Just(RouterEvent::Restart),
    ];
    prop::collection::vec((0_u64..1_500, 0..ROUTERS, event), 1..150)
}

/// Events with little traffic and many restarts.
fn restarting_fleet() -> impl Strategy<Value = Vec<ModelEvent>> {
    let event = prop_oneof![
        1 => Just(RouterEvent::Requests(1)),
        3 => Just(RouterEvent::Failures(4)),
        3 => Just(RouterEvent::Restart),
    ];
    prop::collection::vec((0_u64..100, 0..ROUTERS, event), 200..300)
}

/// One router of the model.
#[derive(Debug, Default)]
struct ModelRouter {
    share: RetryShare,
    started_ms: u64,
}

impl ModelRouter {
    /// Applies `event`; returns the number of new requests and of retries.
    fn apply(&mut self, event: RouterEvent, now_ms: u64) -> (u32, u32) {
        let uptime = Duration::from_millis(now_ms - self.started_ms);
        let (config, now) = (BOUND.share(Some(ROUTERS), uptime), at(now_ms));
        match event {
            RouterEvent::Requests(count) => {
                for _ in 0..count {
                    self.share.record_new_request(&config, now);
                }
                (count, 0)
            }
            RouterEvent::Failures(count) => {
                let spent = (0..count).filter(|_| self.share.spend(&config, 0.0, now));
                (0, spent.count() as u32)
            }
            RouterEvent::Restart => {
                *self = Self {
                    share: RetryShare::default(),
                    started_ms: now_ms,
                };
                (0, 0)
            }
        }
    }
}

/// Number of events of `counts` from `start_ms` to the end of a window that begins then, both included.
fn in_window(counts: &[(u64, u32)], start_ms: u64) -> u32 {
    let end_ms = start_ms + BOUND.window.as_millis() as u64;
    let within = counts
        .iter()
        .filter(|(at, _)| (start_ms..=end_ms).contains(at));
    within.map(|(_, count)| count).sum()
}

proptest! {
    /// For any traffic at each router and any restarts, no window of the fleet has more retries than the bound allows for
    /// the requests of the window or of the one before it.
    #[test]
    fn no_window_of_the_fleet_exceeds_the_bound(
        events in prop_oneof![busy_fleet(), restarting_fleet()],
    ) {
        let mut routers: Vec<ModelRouter> = (0..ROUTERS).map(|_| ModelRouter::default()).collect();
        let mut now_ms = MODEL_START_MS;
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (gap_ms, router, event) in events {
            now_ms += gap_ms;
            let (new, repeated) = routers[router].apply(event, now_ms);
            requests.push((now_ms, new));
            retries.push((now_ms, repeated));
        }
        let window_ms = BOUND.window.as_millis() as u64;
        for (start_ms, _) in &retries {
            let before = in_window(&requests, start_ms - window_ms);
            let counted = before.max(in_window(&requests, *start_ms));
            let allowed = BOUND.ratio * f64::from(counted) + BOUND.burst;
            prop_assert!(f64::from(in_window(&retries, *start_ms)) <= allowed);
        }
    }
}

/// Guards against a share of the burst for each start of a router.
#[test]
fn a_router_has_no_part_of_the_burst_until_it_has_run_for_a_window() {
    let mut share = RetryShare::default();
    let young = BOUND.share(Some(ROUTERS), Duration::from_secs(9));
    assert!(!share.spend(&young, 0.0, at(9_000)));
    assert!(share.spend(&mature(), 0.0, at(10_000)));
}

/// Guards against routers that each take the part that is meant for a small fleet.
#[test]
fn a_router_that_does_not_know_the_number_of_routers_has_no_part_of_the_burst() {
    let mut share = RetryShare::default();
    let unknown = BOUND.share(None, Duration::from_secs(60));
    assert!(!share.spend(&unknown, 0.0, at(60_000)));
    assert!(share.spend(&mature(), 0.0, at(60_001)));
}

/// Guards against a burst that comes back with each change of the number of routers.
#[test]
fn a_router_gets_its_part_of_the_burst_once() {
    let mut share = RetryShare::default();
    assert!(share.spend(&mature(), 0.0, at(0)));
    let none = RetryShareConfig {
        burst: 0.0,
        ..mature()
    };
    assert!(!share.spend(&none, 0.0, at(1)));
    assert!(!share.spend(&mature(), 0.0, at(2)));
}

/// Guards against retries that are saved up over a long calm time and spent in one window.
#[test]
fn retries_of_requests_before_the_last_window_are_dropped() {
    let mut share = RetryShare::default();
    for step in 0..1_000 {
        share.record_new_request(&mature(), at(step));
    }
    assert!(share.left(&mature(), at(1_000)) > 100.0);
    let later = share.left(&mature(), at(12_000));
    assert!(later <= mature().burst + mature().earned, "{later}");
}

/// Guards against a rate that is averaged over the whole window: a roll-out order 2 s after the
/// first request then used a fifth of the true rate, and five times as many conversations as needed
/// changed their version.
#[test]
fn a_rate_counts_only_the_time_since_the_first_request() {
    let mut share = RetryShare::default();
    assert!(share.new_request_rate(&mature(), at(0)).abs() < f64::EPSILON);
    for step in 0..200 {
        share.record_new_request(&mature(), at(5_000 + 10 * step));
    }
    let rate = share.new_request_rate(&mature(), at(7_000));
    assert!((90.0..=110.0).contains(&rate), "{rate}");
}

#[test]
fn reserved_sends_are_kept_for_other_purposes() {
    let config = RetryShareConfig {
        earned: 0.5,
        saved: 0.2,
        burst: 4.0,
        window: BOUND.window,
    };
    let mut share = RetryShare::default();
    assert!(!share.spend(&config, 1.0, at(0)));
    for _ in 0..4 {
        assert!(share.spend(&config, 0.0, at(0)));
    }
    assert!(!share.spend(&config, 0.0, at(0)));
    for _ in 0..2 {
        share.record_new_request(&config, at(10_300));
    }
    assert!(share.spend(&config, 0.0, at(10_300)));
}
