//! Configuration: one change, the view built after it, and the memory of both, by number of objects.

use std::time::Instant;

use ferry_decisions::config::{
    ChangeSet, ConfigFold, ConfigRecord, ConfigView, ModelSpec, ObjectChange, ObjectKey,
    ObjectKind, ObjectSpec, WorkspaceSpec, key_digest,
};
use ferry_decisions::labels::LabelSet;
use ferry_decisions::time::UnixMillis;
use uuid::Uuid;

use super::memory_growth::growth_of;
use crate::report::ReportTable;
use crate::seed_runs::quantile;

/// Numbers of objects.
const SIZES: [usize; 4] = [100, 1_000, 2_500, 5_000];
/// Changes that are timed at each size.
const CHANGES: usize = 50;
/// Copies whose memory is measured, so that the growth is far above a page.
const COPIES: usize = 20;
/// Microseconds in a second.
const MICROS: f64 = 1_000_000.0;

/// Times one change at each size.
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
        let mut fold = filled(size);
        let (folds, views): (Vec<f64>, Vec<f64>) = (0..CHANGES)
            .map(|index| time_change(&mut fold, index))
            .unzip();
        let (apply, view) = (quantile(&folds, 0.5), quantile(&views, 0.5));
        let snapshot = serde_json::to_vec(fold.state()).unwrap_or_default();
        let snapshot = std::mem::ManuallyDrop::new(snapshot).len();
        let copy = || (fold.clone(), ConfigView::build(&fold));
        let bytes = growth_of(|| (0..COPIES).map(|_| copy()).collect::<Vec<_>>());
        // Not freed, so that larger sizes find no memory to reuse.
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

/// A fold of `size` objects: one model, the rest workspaces.
fn filled(size: usize) -> ConfigFold {
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

/// Folds a change of one object; gives the microseconds of the fold and of the new view.
fn time_change(fold: &mut ConfigFold, index: usize) -> (f64, f64) {
    let key = workspace_key(index + 1);
    let base = fold.state().revision(&key);
    let data = record(vec![change(key, base, workspace(index + 1, 1))]);
    let begun = Instant::now();
    fold.apply(fold.next_offset(), &data);
    let folded = begun.elapsed();
    let begun = Instant::now();
    std::hint::black_box(ConfigView::build(fold));
    let viewed = begun.elapsed();
    (folded.as_secs_f64() * MICROS, viewed.as_secs_f64() * MICROS)
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
