//! What the bill streams of the log say.

use std::collections::BTreeMap;
use std::time::Duration;

use ferry_decisions::bill::{BillBatch, bill_stream};
use ferry_decisions::claim::SHARD_COUNT;
use ferry_platform::log::LogClient;

/// Records asked for in one read.
const READ_BATCH: usize = 10_000;

/// Cost of each billed request by its identifier, the first bill of each counting.
///
/// # Panics
///
/// Panics when two bills of one request differ in what is paid.
pub async fn billed(log: &LogClient) -> BTreeMap<String, u64> {
    let mut costs = BTreeMap::new();
    for shard in 0..SHARD_COUNT {
        let stream = bill_stream(shard);
        let answer = log.read(&stream, 0, READ_BATCH, Duration::ZERO).await;
        for record in answer.expect("the log answers").records {
            let batch: BillBatch = serde_json::from_str(&record.data).expect("a bill batch");
            for bill in batch.bills {
                let known = costs.entry(bill.request.to_string()).or_insert(bill.cost);
                assert_eq!(*known, bill.cost, "two bills of {}", bill.request);
            }
        }
    }
    costs
}
