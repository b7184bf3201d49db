//! Tests of bill folds against a plain sum over the log, with repeats, batching, checkpoints and
//! anomalies.

use std::collections::{BTreeMap, HashSet};

use ferry_decisions::bill::{
    BILL_WINDOW_MS, BillAnomaly, BillBatch, BillDecision, BillEntry, BillFold, BillOutcome,
    BillStep, LedgerCheckpoint, LedgerReport, TokenPrice, WorkspaceTotal,
};
use ferry_decisions::claim::{RequestKey, shard_of};
use ferry_decisions::names::{HostName, RequestId, VersionName, WorkspaceName};
use ferry_decisions::time::UnixMillis;
use proptest::prelude::*;
use uuid::Uuid;

const START: UnixMillis = UnixMillis(1_700_000_000_000);
const SHARD: u16 = 3;
const HOUR_MS: u64 = 3_600_000;

/// The `index`th request id of the tested shard.
fn request(index: usize) -> RequestId {
    (0_u32..)
        .map(|count| RequestId::new(&format!("order-{count}")))
        .filter(|id| shard_of(id) == SHARD)
        .nth(index)
        .unwrap()
}

fn bill(index: usize, tokens: u64) -> BillEntry {
    let workspace = ["clinic", "depots"][index % 2];
    BillEntry {
        request: request(index / 2),
        workspace: WorkspaceName::new(workspace),
        version: VersionName::new("small-1"),
        prompt_tokens: tokens,
        completion_tokens: 2 * tokens,
        cost: 3 * tokens,
        outcome: BillOutcome::Answered,
        router: HostName::new("router-a"),
        time: START,
    }
}

fn record(bills: &[BillEntry]) -> String {
    let batch = BillBatch {
        owner: HostName::new("router-a"),
        batch: Uuid::from_u128(1),
        bills: bills.to_vec(),
    };
    serde_json::to_string(&batch).unwrap()
}

fn fold_of(records: &[String]) -> BillFold {
    let mut fold = BillFold::new(SHARD);
    apply_all(&mut fold, records, 0);
    fold
}

fn apply_all(fold: &mut BillFold, records: &[String], from: usize) {
    for (offset, data) in records.iter().enumerate().skip(from) {
        fold.apply(offset as u64, START, data);
    }
}

/// Totals of the first bill of each workspace and request, by a plain scan.
fn plain_totals(bills: &[BillEntry]) -> BTreeMap<WorkspaceName, WorkspaceTotal> {
    let mut seen = HashSet::new();
    let mut totals = BTreeMap::<_, WorkspaceTotal>::new();
    for bill in bills {
        if seen.insert(RequestKey::new(&bill.workspace, &bill.request)) {
            totals.entry(bill.workspace.clone()).or_default().add(bill);
        }
    }
    totals
}

/// Splits `bills` into records of the given lengths, used in turn.
fn batched(bills: &[BillEntry], lengths: &[usize]) -> Vec<String> {
    let mut rest = bills;
    let mut records = Vec::new();
    for length in lengths.iter().cycle() {
        if rest.is_empty() {
            break;
        }
        let (head, tail) = rest.split_at((*length).min(rest.len()));
        records.push(record(head));
        rest = tail;
    }
    records
}

fn bills() -> impl Strategy<Value = Vec<BillEntry>> {
    let one = (0..12_usize, 1..4_u64).prop_map(|(index, tokens)| bill(index, tokens));
    prop::collection::vec(one, 1..60)
}

fn lengths() -> impl Strategy<Value = Vec<usize>> {
    prop::collection::vec(1..7_usize, 1..6)
}

proptest! {
    #[test]
    fn totals_are_the_same_whatever_the_batching(
        bills in bills(),
        first in lengths(),
        second in lengths(),
    ) {
        let one = fold_of(&batched(&bills, &first));
        let two = fold_of(&batched(&bills, &second));
        prop_assert_eq!(one.totals(), &plain_totals(&bills));
        prop_assert_eq!(one.totals(), two.totals());
    }

    /// Guards against bills counted twice when routers and peers flush overlapping parts of the
    /// bills, some batches several times.
    #[test]
    fn repeats_change_no_total(
        copies in prop::collection::vec((0..12_usize, 1..5_usize), 1..40),
        lengths in lengths(),
    ) {
        let own: Vec<_> = (0..12).map(|index| bill(index, index as u64 + 1)).collect();
        let mut records = batched(&own, &lengths);
        for (start, length) in copies {
            records.push(record(&own[start..(start + length).min(own.len())]));
        }
        let report = LedgerReport::from_folds([&fold_of(&records)]);
        prop_assert_eq!(&report.workspaces, &plain_totals(&own));
        prop_assert!(!report.counts.need_attention());
        let requests: u64 = report.workspaces.values().map(|total| total.requests).sum();
        prop_assert_eq!(requests, 12);
    }

    #[test]
    fn a_fold_from_any_checkpoint_ends_with_the_same_bytes(
        bills in bills(),
        lengths in lengths(),
        cut in 0..60_usize,
    ) {
        let records = batched(&bills, &lengths);
        let cut = cut.min(records.len());
        let text = serde_json::to_string(&fold_of(&records[..cut]).checkpoint()).unwrap();
        let checkpoint: LedgerCheckpoint = serde_json::from_str(&text).unwrap();
        let mut resumed = BillFold::from_checkpoint(checkpoint);
        apply_all(&mut resumed, &records, cut);
        let whole = serde_json::to_string(&fold_of(&records).checkpoint()).unwrap();
        prop_assert_eq!(serde_json::to_string(&resumed.checkpoint()).unwrap(), whole);
    }
}

#[test]
fn a_repeat_that_differs_is_an_anomaly_and_changes_no_total() {
    let records = [record(&[bill(0, 5)]), record(&[bill(0, 6)])];
    let fold = fold_of(&records);
    assert_eq!(fold.totals(), &plain_totals(&[bill(0, 5)]));
    assert!(matches!(
        fold.listed(),
        [BillAnomaly::RepeatDiffers {
            offset: 1,
            first: 0,
            ..
        }]
    ));
    assert!(fold.counts().need_attention());
}

#[test]
fn equal_ids_of_two_workspaces_are_billed_to_both() {
    let mut other = bill(0, 5);
    other.workspace = WorkspaceName::new("portal");
    let fold = fold_of(&[record(&[bill(0, 5), other])]);
    assert_eq!(fold.totals().len(), 2);
}

#[test]
fn foreign_records_gaps_and_bills_of_other_shards_are_listed() {
    let mut fold = BillFold::new(SHARD + 1);
    fold.apply(0, START, "not a bill");
    fold.apply(4, START, &record(&[bill(0, 5)]));
    let counts = fold.counts();
    assert_eq!((counts.foreign, counts.gaps, counts.wrong_shard), (1, 1, 1));
    assert_eq!(fold.listed().len(), 3);
    assert!(fold.totals().is_empty());
}

#[test]
fn repeats_are_recognised_as_long_as_a_bill_may_come() {
    let mut fold = BillFold::new(SHARD);
    let data = record(&[bill(0, 5)]);
    fold.apply(0, START.plus_ms(HOUR_MS), &data);
    let last = START.plus_ms(BILL_WINDOW_MS);
    fold.apply(1, last, "not a bill");
    let BillStep::Folded { decisions, .. } = fold.apply(2, last, &data) else {
        panic!("the record is a batch");
    };
    assert_eq!(decisions.as_slice(), [BillDecision::Repeat]);
    let BillStep::Folded { decisions, .. } = fold.apply(3, last.plus_ms(2 * HOUR_MS), &data) else {
        panic!("the record is a batch");
    };
    assert_eq!(decisions.as_slice(), [BillDecision::Late]);
    assert_eq!(fold.totals(), &plain_totals(&[bill(0, 5)]));
    let key = RequestKey::new(&bill(0, 5).workspace, &bill(0, 5).request);
    assert_eq!(fold.billed_at(&key), None);
}

#[test]
fn tokens_are_priced_by_the_thousand_and_rounded_up() {
    let price = TokenPrice {
        prompt: 100,
        completion: 1_000,
    };
    assert_eq!(price.of(0, 0), 0);
    assert_eq!(price.of(1_000, 1_000), 1_100);
    assert_eq!(price.of(1, 0), 1);
    assert_eq!(price.of(u64::MAX, u64::MAX), u64::MAX);
}
