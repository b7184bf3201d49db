//! Reads the bills on the log, and waits for routers to flush theirs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ferry_decisions::bill::{BillBatch, bill_stream};
use ferry_decisions::claim::SHARD_COUNT;
use ferry_rig::{FleetRig, eventually};

/// Number of distinct bills on the log by request id; repeated records of an equal bill count once.
pub async fn bills_on_the_log(rig: &FleetRig) -> BTreeMap<String, usize> {
    let mut bills = BTreeMap::<String, BTreeSet<String>>::new();
    for shard in 0..SHARD_COUNT {
        let stream = bill_stream(shard);
        let page = rig.log().read(&stream, 0, 10_000, Duration::ZERO).await;
        let page = page.unwrap();
        assert_eq!(
            page.records.len() as u64,
            page.next,
            "the whole stream is read at once"
        );
        for record in page.records {
            let batch: BillBatch = serde_json::from_str(&record.data).unwrap();
            for bill in batch.bills {
                let content = serde_json::to_string(&bill).unwrap();
                let distinct = bills.entry(bill.request.to_string()).or_default();
                distinct.insert(content);
            }
        }
    }
    let counts = bills.into_iter().map(|(id, distinct)| (id, distinct.len()));
    counts.collect()
}

/// Waits until no router of `indexes` holds a bill, a copy of a bill or a void that is not on the log.
pub async fn until_flushed(rig: &FleetRig, indexes: impl IntoIterator<Item = usize>) {
    for index in indexes {
        eventually("the router has flushed its bills", || async move {
            let status = rig.admin(index, "/status").await?;
            let bills = &status["plugins"]["bills"];
            let voids = &status["plugins"]["claims"]["voids_not_on_the_log"];
            let pending = [&bills["unlogged"], &bills["copies_held"], voids];
            pending.iter().all(|count| **count == 0).then_some(())
        })
        .await;
    }
}

/// Waits until every router counts all routers as live, so that they agree on the owners of shards.
pub async fn until_all_live(rig: &FleetRig) {
    for index in 0..rig.routers.len() {
        eventually("every router counts all routers as live", || async move {
            let status = rig.admin(index, "/status").await?;
            let live = status["plugins"]["membership"]["live"].as_array()?;
            (live.len() == rig.routers.len()).then_some(())
        })
        .await;
    }
}
