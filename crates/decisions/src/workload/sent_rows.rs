//! Rows that a pool host sent to a router, so that the next answer has only those that have changed.

use std::collections::HashMap;
use std::time::Duration;

use super::{SlownessFigure, UpstreamWorkRow, WorkLoad, short_id, write_row};
use crate::registry::UpstreamIncarnation;
use crate::time::MonotonicTime;

/// Change of a figure, as a part of it, up to which a row counts as unchanged. The choice compares upstreams whose figures differ by more, and are as
/// old as a second.
const MIN_CHANGE: f64 = 0.1;
/// The same for the figures of a stated load, which change with each answer.
const MIN_LOAD_CHANGE: f64 = 0.25;
/// Least change of the work, in milliseconds.
const MIN_WORK_MS: f64 = 500.0;
/// Least growth of the samples of a slowness.
const MIN_SAMPLES: f64 = 0.5;
/// Time after which a slowness with new samples is sent although it is the same: it would expire at the other router.
const SLOWNESS_REFRESH: Duration = Duration::from_secs(10);
/// Time by which a load must have been stated later to be sent although it is the same: it would expire at the other router.
const LOAD_REFRESH: Duration = Duration::from_millis(1_500);

/// Rows of the last answer to one router.
#[derive(Debug, Default)]
pub struct SentRows {
    /// Number of that answer.
    number: u64,
    sent_at: MonotonicTime,
    rows: HashMap<UpstreamIncarnation, (UpstreamWorkRow, MonotonicTime)>,
}

impl SentRows {
    /// When that answer was sent.
    pub fn sent_at(&self) -> MonotonicTime {
        self.sent_at
    }

    /// Encodes the rows of the answer `number` to a router that has the answer `known`; returns whether these are all rows.
    pub fn encode(
        &mut self,
        rows: Vec<UpstreamWorkRow>,
        known: u64,
        number: u64,
        now: MonotonicTime,
    ) -> (Vec<u8>, bool) {
        let is_whole = known == 0 || known != self.number;
        let mut previous = std::mem::take(&mut self.rows);
        if is_whole {
            previous.clear();
        }
        let mut bytes = Vec::new();
        for row in rows {
            let before = previous.remove(&row.upstream);
            let kept = before.filter(|(sent, at)| !has_changed(sent, *at, &row, now));
            let sent = kept.unwrap_or_else(|| {
                write_row(&mut bytes, short_id(&row.upstream), &row);
                (row, now)
            });
            self.rows.insert(sent.0.upstream.clone(), sent);
        }
        for (upstream, (row, _)) in previous {
            let ended = UpstreamWorkRow {
                work_ms: 0,
                requests: 0,
                samples: 0.0,
                load: None,
                ..row
            };
            write_row(&mut bytes, short_id(&upstream), &ended);
        }
        (self.number, self.sent_at) = (number, now);
        (bytes, is_whole)
    }
}

/// Whether `row` differs from `sent`, which was sent at `sent_at`, by more than what matters to a choice.
fn has_changed(
    sent: &UpstreamWorkRow,
    sent_at: MonotonicTime,
    row: &UpstreamWorkRow,
    now: MonotonicTime,
) -> bool {
    let differs = |sent: f64, now: f64, least: f64| {
        let least = (sent * MIN_CHANGE).max(least);
        (now - sent).abs() > least
    };
    differs(sent.requests.into(), row.requests.into(), 0.0)
        || differs(sent.work_ms.into(), row.work_ms.into(), MIN_WORK_MS)
        || differs(sent.slowness, row.slowness, 0.0)
        || row.samples > sent.samples && differs(sent.samples, row.samples, MIN_SAMPLES)
        || has_expiring_slowness(sent, sent_at, row, now)
        || (row.requests > 0) != (sent.requests > 0)
        || (row.samples > 0.0) != (sent.samples > 0.0)
        || has_load_changed(sent.load, sent_at, row.load, now)
}

/// Whether the other router is about to drop a slowness that has new samples here. Samples decay at both ends alike, so without new ones there
/// is nothing to send.
fn has_expiring_slowness(
    sent: &UpstreamWorkRow,
    sent_at: MonotonicTime,
    row: &UpstreamWorkRow,
    now: MonotonicTime,
) -> bool {
    let kept = SlownessFigure::new(sent.slowness, sent.samples, sent_at).samples(now);
    now.since(sent_at) >= SLOWNESS_REFRESH && row.samples > kept + MIN_SAMPLES
}

fn has_load_changed(
    sent: Option<WorkLoad>,
    sent_at: MonotonicTime,
    load: Option<WorkLoad>,
    now: MonotonicTime,
) -> bool {
    let (Some(sent), Some(load)) = (sent, load) else {
        return sent.is_some() != load.is_some();
    };
    let differs = |sent: u32, now: u32| {
        let least = f64::from(sent) * MIN_LOAD_CHANGE;
        f64::from(sent.abs_diff(now)) > least
    };
    let contention = |load: WorkLoad| load.contention.unwrap_or_default();
    let later = load.stated_at(now).since(sent.stated_at(sent_at));
    let has_changed = differs(sent.running, load.running)
        || differs(sent.waiting, load.waiting)
        || sent.slots != load.slots
        || differs(contention(sent), contention(load));
    !later.is_zero() && has_changed || later >= LOAD_REFRESH
}
