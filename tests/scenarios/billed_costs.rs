//! Reads the billed costs from the bill streams of the log.

use std::collections::BTreeMap;
use std::time::Duration;

use ferry_decisions::bill::{BillBatch, bill_stream};
use ferry_decisions::claim::SHARD_COUNT;
use ferry_platform::log::LogClient;

/// Number of records requested in one read.
const READ_BATCH: usize = 10_000;

/// Returns the cost of each billed request by its identifier, taken from its first bill.
///
/// # Panics
///
/// Panics when two bills of one request differ in their cost.
pub async fn billed_costs(log: &LogClient) -> BTreeMap<String, u64> {
    let mut costs = BTreeMap::new();
    for shard in 0..SHARD_COUNT {
        let stream = bill_stream(shard);
        let answer = log.read(&stream, 0, READ_BATCH, Duration::ZERO).await;
        for record in answer.expect("the log answers").records {
            let batch: BillBatch = serde_json::from_str(&record.data).expect("a bill batch");
            for bill in batch.bills {
                let first_cost = costs.entry(bill.request.to_string()).or_insert(bill.cost);
                assert_eq!(*first_cost, bill.cost, "two bills of {}", bill.request);
            }
        }
    }
    costs
}
