//! Looks up whether a request was billed, in the recent records of its bill stream.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::bill::{BillFold, bill_stream};
use ferry_decisions::claim::{READ_BACK_MS, RequestKey, shard_of};
use ferry_decisions::time::UnixMillis;
use ferry_kernel::wall_clock;
use ferry_platform::log::LogError;
use tokio::sync::Mutex;

use crate::appends::find_start;
use crate::core::RouterCore;

/// Maximum number of records per read.
const READ_BATCH: usize = 500;

/// Folds of the bill streams that were queried so far, by shard.
#[derive(Debug, Default)]
pub(super) struct BillIndex {
    folds: Mutex<HashMap<u16, BillFold>>,
}

/// Whether a bill of `key` is on the log or held here. If the log does not answer, only the bills
/// held here count.
pub async fn is_billed(core: &Arc<RouterCore>, key: &RequestKey) -> bool {
    if core.bills.has_unlogged(key) {
        return true;
    }
    core.bills.index().look_up(core, key).await.unwrap_or(false)
}

impl BillIndex {
    async fn look_up(&self, core: &RouterCore, key: &RequestKey) -> Result<bool, LogError> {
        let shard = shard_of(&key.request);
        let mut folds = self.folds.lock().await;
        let fold = match folds.entry(shard) {
            Entry::Occupied(occupied) => occupied.into_mut(),
            Entry::Vacant(vacant) => vacant.insert(create_fold(core, shard).await?),
        };
        read_tail(core, fold).await?;
        Ok(fold.billed_at(key).is_some())
    }
}

/// Creates the fold of a bill stream, which starts at the oldest record of the last [`READ_BACK_MS`].
async fn create_fold(core: &RouterCore, shard: u16) -> Result<BillFold, LogError> {
    let oldest = UnixMillis(wall_clock::now().0.saturating_sub(READ_BACK_MS));
    let start = find_start(&core.log, &bill_stream(shard), oldest, oldest).await?;
    let mut fold = BillFold::new(shard);
    fold.skip_to(start.offset);
    Ok(fold)
}

async fn read_tail(core: &RouterCore, fold: &mut BillFold) -> Result<(), LogError> {
    let stream = bill_stream(fold.shard());
    loop {
        let from = fold.next_offset();
        let page = core
            .log
            .read(&stream, from, READ_BATCH, Duration::ZERO)
            .await?;
        fold.skip_to(page.earliest);
        for record in &page.records {
            fold.apply(record.offset, record.time, &record.data);
        }
        if fold.next_offset() >= page.next {
            return Ok(());
        }
    }
}
