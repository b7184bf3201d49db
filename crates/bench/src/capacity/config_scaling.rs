//! Cost of configuration by number of objects: applying one change, building the view after it, and
//! the memory of both.

use std::time::Instant;

use ferry_decisions::config::{
    ChangeSet, ConfigFold, ConfigRecord, ConfigView, ModelSpec, ObjectChange, ObjectKey,
    ObjectKind, ObjectSpec, WorkspaceSpec, key_digest,
};
use ferry_decisions::labels::LabelSet;
use ferry_decisions::time::UnixMillis;
use uuid::Uuid;

use super::memory_growth::resident_growth;
use crate::report::ReportTable;
use crate::seed_runs::quantile;

/// Numbers of objects at which the cost is measured.
const SIZES: [usize; 4] = [100, 1_000, 2_500, 5_000];
/// Number of changes that are timed at each size.
const CHANGES: usize = 50;
/// Number of copies whose memory is measured, so that the growth is far larger than a page.
const COPIES: usize = 20;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Measures one change at each size.
pub(super) fn measure() -> ReportTable {
    let columns = [
        "fold us p50",
        "view us p50",
        "fold us/object",
        "view us/object",
        "bytes/object",
        "snapshot bytes/object",
    ];
    let mut table = ReportTable::new("Configuration, one change", &columns);
    for size in SIZES {
        let mut fold = fold_with_objects(size);
        let (folds, views): (Vec<f64>, Vec<f64>) = (0..CHANGES)
            .map(|index| time_change(&mut fold, index))
            .unzip();
        let (apply, view) = (quantile(&folds, 0.5), quantile(&views, 0.5));
        let snapshot = serde_json::to_vec(fold.state()).unwrap_or_default();
        let snapshot = std::mem::ManuallyDrop::new(snapshot).len();
        let copy = || (fold.clone(), ConfigView::build(&fold));
        let bytes = resident_growth(|| (0..COPIES).map(|_| copy()).collect::<Vec<_>>());
        // Leaked on purpose: measurements at larger sizes must not reuse freed memory.
        std::mem::forget(fold);
        let objects = size as f64;
        let row = [
            apply,
            view,
            apply / objects,
            view / objects,
            bytes / COPIES as f64 / objects,
            snapshot as f64 / objects,
        ];
        table.push(&format!("{size} objects"), &row);
    }
    table
}

/// Creates a fold of `size` objects: one model and `size - 1` workspaces.
fn fold_with_objects(size: usize) -> ConfigFold {
    let model = ObjectSpec::Model(ModelSpec {
        labels: LabelSet::default(),
    });
    let mut changes = vec![change(
        ObjectKey::new(ObjectKind::Model, "model"),
        None,
        model,
    )];
    changes.extend((1..size).map(|index| change(workspace_key(index), None, workspace(index, 0))));
    let mut fold = ConfigFold::new();
    fold.apply(0, &record(changes));
    fold
}

/// Applies a change of one object; returns the time to apply it and the time to build the new view,
/// both in microseconds.
fn time_change(fold: &mut ConfigFold, index: usize) -> (f64, f64) {
    let key = workspace_key(index + 1);
    let base = fold.state().revision(&key);
    let data = record(vec![change(key, base, workspace(index + 1, 1))]);
    let started = Instant::now();
    fold.apply(fold.next_offset(), &data);
    let folded = started.elapsed();
    let started = Instant::now();
    std::hint::black_box(ConfigView::build(fold));
    let viewed = started.elapsed();
    (
        folded.as_secs_f64() * MICROS_PER_SECOND,
        viewed.as_secs_f64() * MICROS_PER_SECOND,
    )
}

fn record(changes: Vec<ObjectChange>) -> Vec<u8> {
    let change = ConfigRecord::Change(ChangeSet {
        id: Uuid::new_v4(),
        operator: "capacity".to_owned(),
        time: UnixMillis(0),
        changes,
    });
    serde_json::to_vec(&change).unwrap_or_default()
}

fn change(key: ObjectKey, base: Option<u64>, spec: ObjectSpec) -> ObjectChange {
    ObjectChange {
        key,
        base,
        spec: Some(spec),
    }
}

fn workspace_key(index: usize) -> ObjectKey {
    ObjectKey::new(ObjectKind::Workspace, &format!("workspace-{index}"))
}

fn workspace(index: usize, revision: usize) -> ObjectSpec {
    ObjectSpec::Workspace(WorkspaceSpec {
        labels: LabelSet::default(),
        key_digests: vec![key_digest(&format!("key {index} {revision}"))],
        limit: None,
        services: Vec::new(),
    })
}
