//! Log reads of an idle router.

use std::time::Duration;

use ferry_rig::FleetRig;
use tokio::time::sleep;

use crate::sample::programs;

/// Time for which the reads of an idle router are counted.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);
/// Greatest number of reads in that time; a read of a stream without new records waits for half a second.
const MAX_READS: u64 = 30;

async fn read_count(rig: &FleetRig) -> u64 {
    let address = rig.platform.address("control");
    rig.counters(&address).await["reads"].as_u64().unwrap()
}

#[tokio::test]
async fn a_router_waits_for_records_of_an_empty_stream() {
    let mut rig = FleetRig::start(programs(), &[]).await.unwrap();
    rig.add_router().await.unwrap();
    rig.wait_until_ready(0).await;
    let before = read_count(&rig).await;
    sleep(OBSERVATION_TIME).await;
    let new_reads = read_count(&rig).await - before;
    assert!(new_reads <= MAX_READS, "{new_reads} reads");
}
