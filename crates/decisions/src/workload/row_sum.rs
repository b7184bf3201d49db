//! Sums of the figures of upstreams, and the rows that state them.

use std::collections::HashMap;

use super::upstream_pool::{Evidence, ReportedWork, newer};
use super::upstream_work::{SlownessFigure, UpstreamWorkRow, WorkLoad};
use crate::registry::UpstreamIncarnation;
use crate::time::MonotonicTime;

/// Sum of the figures of one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RowSum {
    pub(super) work: ReportedWork,
    pub(super) slowness: SlownessFigure,
    pub(super) load: Option<(WorkLoad, MonotonicTime)>,
}

impl RowSum {
    pub(super) fn add_work(&mut self, work: ReportedWork) {
        self.work.add(work);
    }

    pub(super) fn subtract_work(&mut self, work: ReportedWork) {
        self.work.subtract(work);
    }

    pub(super) fn add_evidence(&mut self, evidence: &Evidence, now: MonotonicTime) {
        self.slowness.add(&evidence.slowness, now);
        self.load = newer(self.load, evidence.load);
    }

    /// Mean slowness and its samples; 1 and 0 if it is not known.
    pub(super) fn known_slowness(&self, now: MonotonicTime) -> (f64, f64) {
        match self.slowness.is_known(now) {
            true => (self.slowness.mean(), self.slowness.samples(now)),
            false => (1.0, 0.0),
        }
    }
}

/// Adds the figures `rows` of this router.
pub(super) fn add_rows<'a>(
    sums: &mut HashMap<&'a UpstreamIncarnation, RowSum>,
    rows: &'a [UpstreamWorkRow],
    now: MonotonicTime,
) {
    for row in rows {
        let cell = sums.entry(&row.upstream).or_default();
        cell.add_work(ReportedWork {
            work_ms: row.work_ms.into(),
            requests: row.requests.into(),
        });
        if row.samples > 0.0 {
            let figure = SlownessFigure::new(row.slowness, row.samples, now);
            cell.slowness.add(&figure, now);
        }
        let load = row.load.map(|load| (load, load.stated_at(now)));
        cell.load = newer(cell.load, load);
    }
}

/// Rows of the upstreams of which anything is known.
pub(super) fn to_rows(
    sums: HashMap<&UpstreamIncarnation, RowSum>,
    now: MonotonicTime,
) -> Vec<UpstreamWorkRow> {
    let rows = sums.into_iter().map(|(upstream, cell)| {
        let (slowness, samples) = cell.known_slowness(now);
        UpstreamWorkRow {
            upstream: upstream.clone(),
            work_ms: cell.work.work_ms.try_into().unwrap_or(u32::MAX),
            requests: cell.work.requests.try_into().unwrap_or(u32::MAX),
            slowness,
            samples,
            load: cell.load.and_then(|(load, at)| load.aged(at, now)),
        }
    });
    let is_known =
        |row: &UpstreamWorkRow| row.requests > 0 || row.samples > 0.0 || row.load.is_some();
    rows.filter(is_known).collect()
}
