//! Latency of claims and bills, and the number of appends they need.

use std::time::Duration;

use ferry_router::claims::claim;
use tokio::time::Instant;

use crate::linked_routers::{LinkedRouters, bill_of, new_key, release};

/// Prints the latency of claims, and of bills with the log up and in an outage, and checks the
/// number of appends.
#[tokio::test]
async fn claims_and_bills_of_a_steady_load_stay_within_the_append_budget() {
    const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
    let linked = LinkedRouters::start(4).await;
    let started = Instant::now();
    let before = linked.platform.counters().appends;
    let (mut claims, mut bills_up, mut bills_outage) = (Vec::new(), Vec::new(), Vec::new());
    for index in 0..200 {
        let (core, key) = (linked.core(index % 4), new_key());
        let requested_at = Instant::now();
        claim(core, &key).await.unwrap();
        claims.push(requested_at.elapsed());
        let requested_at = Instant::now();
        release(core, bill_of(&key)).await;
        bills_up.push(requested_at.elapsed());
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let seconds = started.elapsed().as_secs_f64();
    let appends = linked.platform.counters().appends - before;
    linked.start_log_outage();
    for index in 0..30 {
        let requested_at = Instant::now();
        release(linked.core(index % 4), bill_of(&new_key())).await;
        bills_outage.push(requested_at.elapsed());
    }
    linked.clear_faults();
    linked.wait_until_billed(230).await;
    println!("claim, log up: {}", percentiles(&mut claims));
    println!("bill, log up: {}", percentiles(&mut bills_up));
    println!("bill, log out: {}", percentiles(&mut bills_outage));
    println!("appends a second: {:.1}", appends as f64 / seconds);
    assert!(appends as f64 <= 200.0 * (seconds + 1.0));
}

fn percentiles(times: &mut [Duration]) -> String {
    times.sort_unstable();
    let at = |hundredth: usize| times[(times.len() - 1) * hundredth / 100];
    format!("p50 {:?} p99 {:?} max {:?}", at(50), at(99), at(100))
}
