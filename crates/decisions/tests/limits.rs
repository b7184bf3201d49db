//! Fleet-wide limits: a workspace within its limit is never refused; beyond it, the admitted rate
//! stays close to the limit.

use std::time::Duration;

use ferry_decisions::limits::{LimitConfig, OfferedCount, PooledLimit};
use ferry_decisions::names::Incarnation;
use proptest::prelude::*;
use uuid::Uuid;

const CONFIG: LimitConfig = LimitConfig {
    rate: 20.0,
    burst: 10.0,
    count_delay_ms: 1_000,
};

fn router(index: u64) -> Incarnation {
    Incarnation(Uuid::from_u64_pair(1, index))
}

/// Two routers that exchange counts every 100 ms, each of which arrives `delay_ms` later.
struct TwoRouters {
    limits: [PooledLimit; 2],
    /// Counts in transit: arrival time in milliseconds, sender, total.
    in_transit: Vec<(u64, usize, u64)>,
    next_exchange_ms: u64,
    delay_ms: u64,
}

impl TwoRouters {
    fn new(delay_ms: u64) -> Self {
        let mut limits = [0, 1].map(|_| PooledLimit::new(CONFIG, Duration::ZERO));
        for (index, limit) in limits.iter_mut().enumerate() {
            let count = OfferedCount {
                router: router(1 - index as u64),
                total: 0,
            };
            limit.merge(Duration::ZERO, count);
        }
        Self {
            limits,
            in_transit: Vec::new(),
            next_exchange_ms: 0,
            delay_ms,
        }
    }

    fn offer(&mut self, now_ms: u64, index: usize) -> bool {
        while self.next_exchange_ms <= now_ms {
            let at = self.next_exchange_ms;
            self.deliver(at);
            for sender in 0..2 {
                let total = self.limits[sender].demand().own_total();
                self.in_transit.push((at + self.delay_ms, sender, total));
            }
            self.next_exchange_ms += 100;
        }
        self.deliver(now_ms);
        self.limits[index]
            .offer(Duration::from_millis(now_ms))
            .is_ok()
    }

    fn deliver(&mut self, now_ms: u64) {
        for (due, sender, total) in self.in_transit.extract_if(.., |m| m.0 <= now_ms) {
            let count = OfferedCount {
                router: router(sender as u64),
                total,
            };
            self.limits[1 - sender].merge(Duration::from_millis(due), count);
        }
    }
}

proptest! {
    #[test]
    fn a_workspace_within_its_limit_is_never_refused(
        arrivals in prop::collection::vec((0_u64..300, 0_usize..2), 1..400),
        delay_ms in 0_u64..850,
    ) {
        let mut routers = TwoRouters::new(delay_ms);
        let mut now_ms = 0;
        let mut tokens = CONFIG.burst;
        for (gap, index) in arrivals {
            now_ms += gap;
            tokens = (tokens + gap as f64 / 1_000.0 * CONFIG.rate).min(CONFIG.burst);
            if tokens < 1.0 {
                continue;
            }
            tokens -= 1.0;
            prop_assert!(routers.offer(now_ms, index), "refused at {now_ms} ms");
        }
    }

    #[test]
    fn a_workspace_beyond_its_limit_gets_the_limit_for_any_skew_between_routers(
        overload in 2_u64..12,
        skew in 1_u64..9,
    ) {
        let mut routers = TwoRouters::new(400);
        let gap_us = 1_000_000 / (overload * CONFIG.rate as u64);
        let (mut admitted, seconds) = (0_u32, 60);
        for step in 0..seconds * 1_000_000 / gap_us {
            let index = usize::from(step % (skew + 1) == 0);
            admitted += u32::from(routers.offer(step * gap_us / 1_000, index));
        }
        let permitted = CONFIG.rate * seconds as f64;
        prop_assert!(f64::from(admitted) >= 0.95 * permitted, "{admitted} of {permitted}");
        prop_assert!(f64::from(admitted) <= 1.1 * permitted + 60.0, "{admitted} of {permitted}");
    }
}

#[test]
fn counts_that_arrive_late_or_twice_change_nothing() {
    let mut limit = PooledLimit::new(CONFIG, Duration::ZERO);
    let count = |total| OfferedCount {
        router: router(9),
        total,
    };
    limit.merge(Duration::ZERO, count(100));
    assert_eq!(limit.demand().rate(Duration::ZERO), 0.0);
    limit.merge(Duration::ZERO, count(130));
    let rate = limit.demand().rate(Duration::ZERO);
    limit.merge(Duration::ZERO, count(130));
    limit.merge(Duration::ZERO, count(120));
    assert_eq!(limit.demand().rate(Duration::ZERO), rate);
    assert!(limit.fraction(Duration::ZERO) < 1.0);
    assert_eq!(limit.fraction(Duration::from_secs(10)), 1.0);
}

/// Guards against a limit so low that the time until the demand is within it does not fit on the clock.
#[test]
fn a_limit_of_any_size_refuses_with_a_time() {
    for rate in [f64::from_bits(1), f64::MIN_POSITIVE, 1e-300, 1e-9, f64::MAX] {
        let config = LimitConfig {
            rate,
            burst: 1.0,
            count_delay_ms: u64::MAX,
        };
        let mut limit = PooledLimit::new(config, Duration::ZERO);
        for number in 0..100 {
            // Either verdict is one.
            let _ = limit.offer(Duration::from_millis(number));
        }
    }
}
