//! A network partition of the fleet during a log outage, while a withdrawal propagates.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use ferry_rig::ChatResult;
use tokio::time::{Instant, sleep};

use crate::fleet_checks::{
    FRESHNESS_LIMIT, PAST_FRESHNESS_LIMIT, VERSION, assert_serving, connected_fleet,
    propagation_stage, start_log_outage, started_runs, try_send_request, until_in_force,
    until_same_config, until_stale, withdraw,
};
use crate::sample::client;

/// Sends requests to the router at `address` until `stop` is set; returns when the last request that the sample version
/// answered was sent.
fn send_until_stopped(
    address: String,
    stop: Arc<AtomicBool>,
) -> tokio::task::JoinHandle<Option<Instant>> {
    tokio::spawn(async move {
        let caller = client();
        let mut last_answered = None;
        while !stop.load(Ordering::Acquire) {
            let sent_at = Instant::now();
            if let ChatResult::Answered(answer) = try_send_request(&caller, &address).await {
                assert_eq!(answer.version, VERSION);
                last_answered = Some(sent_at);
            }
        }
        last_answered
    })
}

#[tokio::test]
async fn a_withdrawal_in_force_holds_on_both_sides_of_a_partition() {
    let rig = connected_fleet(5).await;
    for index in 0..3 {
        rig.routers[index].platform_link.cut();
    }
    rig.cut_between(&[0, 1, 2], &[3, 4]);
    let offset = withdraw(&rig).await;
    until_same_config(&rig, &[3, 4], offset).await;
    start_log_outage(&rig).await;

    // Routers 0 to 2 do not know of the withdrawal, so no router may report it as accepted. They refuse for a while,
    // because the last reports that they received from the others say that those can read the log.
    sleep(PAST_FRESHNESS_LIMIT).await;
    assert_serving(&rig, &[0, 1, 2], FRESHNESS_LIMIT).await;
    until_stale(&rig, 3).await;
    for index in 3..5 {
        assert_eq!(
            propagation_stage(&rig, index, offset).await.unwrap(),
            "published"
        );
    }

    let stop = Arc::new(AtomicBool::new(false));
    let loads: Vec<_> = (0..5)
        .map(|index| send_until_stopped(rig.callers(index), Arc::clone(&stop)))
        .collect();
    rig.heal_peers();
    until_in_force(&rig, 3, offset).await;
    let in_force = Instant::now();
    sleep(FRESHNESS_LIMIT).await;
    let settled = started_runs(&rig).await;
    sleep(FRESHNESS_LIMIT).await;
    stop.store(true, Ordering::Release);
    for load in loads {
        let last_answered = load.await.unwrap();
        assert!(last_answered.is_none_or(|last_answered| last_answered < in_force));
    }
    assert_eq!(started_runs(&rig).await, settled);
    until_same_config(&rig, &[0, 1, 2, 3, 4], offset).await;
}
