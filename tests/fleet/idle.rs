//! What a router does while nothing happens.

use std::time::Duration;

use ferry_rig::FleetRig;
use tokio::time::sleep;

use crate::sample::programs;

/// Time for which an idle router is watched.
const WATCH_TIME: Duration = Duration::from_secs(3);
/// Reads that a router may make in that time: one waits for half a second.
const MOST_READS: u64 = 30;

async fn reads(rig: &FleetRig) -> u64 {
    let address = rig.platform.address("control");
    rig.counters(&address).await["reads"].as_u64().unwrap()
}

#[tokio::test]
async fn a_router_waits_for_records_of_an_empty_stream() {
    let mut rig = FleetRig::start(programs(), &[]).await.unwrap();
    rig.add_router().await.unwrap();
    rig.wait_until_ready(0).await;
    let before = reads(&rig).await;
    sleep(WATCH_TIME).await;
    let made = reads(&rig).await - before;
    assert!(made <= MOST_READS, "{made} reads");
}
