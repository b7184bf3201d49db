//! A fleet split in two while the log is out and a withdrawal is under way.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use ferry_rig::ChatResult;
use tokio::time::{Instant, sleep};

use crate::look::{
    FRESHNESS, PAST_FRESHNESS, VERSION, assert_serving, log_outage, runs, stage, try_ask,
    until_equal, until_in_force, until_stale, whole_fleet, withdraw,
};
use crate::sample::client;

/// Sends requests to the router at `address` until told to stop; gives the start of the last one
/// that the sample version answered.
fn load(address: String, stop: Arc<AtomicBool>) -> tokio::task::JoinHandle<Option<Instant>> {
    tokio::spawn(async move {
        let caller = client();
        let mut last = None;
        while !stop.load(Ordering::Acquire) {
            let began = Instant::now();
            if let ChatResult::Answered(answer) = try_ask(&caller, &address).await {
                assert_eq!(answer.version, VERSION);
                last = Some(began);
            }
        }
        last
    })
}

#[tokio::test]
async fn a_withdrawal_in_force_holds_on_both_sides_of_a_split() {
    let rig = whole_fleet(5).await;
    for index in 0..3 {
        rig.routers[index].platform_link.cut();
    }
    rig.cut_between(&[0, 1, 2], &[3, 4]);
    let offset = withdraw(&rig).await;
    until_equal(&rig, &[3, 4], offset).await;
    log_outage(&rig).await;

    // The three do not know of the withdrawal, so that nobody may call it accepted. They refuse for
    // a while, since the last that they heard of the others is that those read the log.
    sleep(PAST_FRESHNESS).await;
    assert_serving(&rig, &[0, 1, 2], FRESHNESS).await;
    until_stale(&rig, 3).await;
    for index in 3..5 {
        assert_eq!(stage(&rig, index, offset).await.unwrap(), "published");
    }

    let stop = Arc::new(AtomicBool::new(false));
    let loads: Vec<_> = (0..5)
        .map(|index| load(rig.callers(index), Arc::clone(&stop)))
        .collect();
    rig.heal_peers();
    until_in_force(&rig, 3, offset).await;
    let in_force = Instant::now();
    sleep(FRESHNESS).await;
    let settled = runs(&rig).await;
    sleep(FRESHNESS).await;
    stop.store(true, Ordering::Release);
    for load in loads {
        let last = load.await.unwrap();
        assert!(last.is_none_or(|last| last < in_force));
    }
    assert_eq!(runs(&rig).await, settled);
    until_equal(&rig, &[0, 1, 2, 3, 4], offset).await;
}
