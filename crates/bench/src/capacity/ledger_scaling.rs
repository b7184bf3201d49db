//! Cost of claims and bills by number of ids: folding an entry and keeping its id in memory.

use std::time::Instant;

use ferry_decisions::bill::{BillBatch, BillEntry, BillFold, BillOutcome};
use ferry_decisions::claim::{ClaimBatch, ClaimEntry, ClaimFold, RequestKey};
use ferry_decisions::names::{Incarnation, RequestId};
use ferry_decisions::time::UnixMillis;
use ferry_kernel::wall_clock;
use serde::Serialize;
use uuid::Uuid;

use super::memory_growth::resident_growth;
use crate::report::ReportTable;

/// Numbers of ids at which the cost is measured.
const SIZES: [usize; 3] = [20_000, 80_000, 320_000];
/// Number of entries in one record.
const BATCH: usize = 100;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1_000_000.0;
const COLUMNS: [&str; 3] = ["bytes/id", "fold us/id", "log bytes/id"];

/// Measures the folding of claims.
pub(super) fn measure_claims() -> ReportTable {
    let mut table = ReportTable::new("Claims remembered", &COLUMNS);
    for size in SIZES {
        let records = records(size, |ids| ClaimBatch {
            owner: "router-1".into(),
            incarnation: Incarnation::random(),
            batch: Uuid::new_v4(),
            entries: ids.iter().map(claim).collect(),
        });
        let fold = || {
            // The ids are spread over all shards; each record is folded by the shard of its ids.
            let mut folds: Vec<ClaimFold> = (0..SHARDS).map(ClaimFold::new).collect();
            for (shard, offset, time, text) in &records {
                folds[usize::from(*shard)].apply(*offset, *time, text);
            }
            let known: usize = folds.iter().map(ClaimFold::len).sum();
            (folds, known)
        };
        measure_fold(&mut table, size, &records, fold);
        // Leaked on purpose: measurements at larger sizes must not reuse freed memory.
        std::mem::forget(records);
    }
    table
}

/// Measures the folding of bills.
pub(super) fn measure_bills() -> ReportTable {
    let mut table = ReportTable::new("Bills remembered", &COLUMNS);
    for size in SIZES {
        let records = records(size, |ids| BillBatch {
            owner: "router-1".into(),
            batch: Uuid::new_v4(),
            bills: ids.iter().map(bill).collect(),
        });
        let fold = || {
            let mut folds: Vec<BillFold> = (0..SHARDS).map(BillFold::new).collect();
            for (shard, offset, time, text) in &records {
                folds[usize::from(*shard)].apply(*offset, *time, text);
            }
            let all = folds.iter().flat_map(|fold| fold.totals().values());
            let known: u64 = all.map(|total| total.requests).sum();
            (folds, known as usize)
        };
        measure_fold(&mut table, size, &records, fold);
        // Leaked on purpose: measurements at larger sizes must not reuse freed memory.
        std::mem::forget(records);
    }
    table
}

/// Shard, offset, log time and text of a record.
type TimedRecord = (u16, u64, UnixMillis, String);

const SHARDS: u16 = ferry_decisions::claim::SHARD_COUNT;

/// Creates records for `size` new ids, grouped by shard.
fn records<T: Serialize>(size: usize, batch: impl Fn(&[RequestId]) -> T) -> Vec<TimedRecord> {
    let mut shards: Vec<Vec<RequestId>> = vec![Vec::new(); usize::from(SHARDS)];
    for _ in 0..size {
        let id = RequestId::generate();
        shards[usize::from(ferry_decisions::claim::shard_of(&id))].push(id);
    }
    let now = wall_clock::now();
    let mut records = Vec::new();
    for (shard, ids) in (0..SHARDS).zip(&shards) {
        for (offset, ids) in (0..).zip(ids.chunks(BATCH)) {
            let text = serde_json::to_string(&batch(ids)).unwrap_or_default();
            records.push((shard, offset, now, text));
        }
    }
    records
}

/// Measures `fold` and adds a row with the cost per id that was folded.
fn measure_fold<T>(
    table: &mut ReportTable,
    size: usize,
    records: &[TimedRecord],
    fold: impl FnOnce() -> (T, usize),
) {
    let started = Instant::now();
    let mut known = 0;
    let bytes = resident_growth(|| {
        let (folds, count) = fold();
        known = count;
        folds
    });
    let micros = started.elapsed().as_secs_f64() * MICROS_PER_SECOND;
    let logged: usize = records.iter().map(|(_, _, _, text)| text.len()).sum();
    let each = |value: f64| value / known.max(1) as f64;
    let row = [each(bytes), each(micros), each(logged as f64)];
    table.push(&format!("{size} ids ({known} folded)"), &row);
}

fn claim(id: &RequestId) -> ClaimEntry {
    ClaimEntry::Claim {
        request: RequestKey::new(&"clinic".into(), id),
        claim: Uuid::new_v4(),
        router: "router-1".into(),
        incarnation: Incarnation(Uuid::nil()),
        time: wall_clock::now(),
    }
}

fn bill(id: &RequestId) -> BillEntry {
    BillEntry {
        request: id.clone(),
        workspace: "clinic".into(),
        version: "small-1".into(),
        prompt_tokens: 100,
        completion_tokens: 400,
        cost: 410,
        outcome: BillOutcome::Answered,
        router: "router-1".into(),
        time: wall_clock::now(),
    }
}
