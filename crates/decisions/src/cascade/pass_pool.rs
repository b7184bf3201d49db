//! Pass rates by stage, pooled over the fleet, with exponential decay of old answers.

use std::collections::BTreeMap;

use crate::guard::RouterId;
use crate::names::{CascadeName, ClassName, VersionName};
use crate::time::UnixMillis;

/// Time after which the weight of an answer has halved, in milliseconds.
const HALF_LIFE_MS: f64 = 600_000.0;
/// Weight of the prior, as a number of answers.
const PRIOR_WEIGHT: f64 = 4.0;
/// Pass rate assumed for a stage without evidence; low enough that a cheap stage is tried
/// occasionally.
const PRIOR_PASS_RATE: f64 = 0.5;
/// Maximum number of rows held; the oldest one is evicted beyond it.
const ROW_LIMIT: usize = 8_192;

closed_set! {
    /// Whether a request started at a stage or was escalated to it.
    pub enum StageEntry {
        /// The request started at the stage.
        First,
        /// The answer of an earlier stage was not accepted.
        Escalated,
    }
}

/// Requests and stage that a pass rate refers to.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct StageKey {
    /// Cascade of the stage.
    pub cascade: CascadeName,
    /// Class of the requests.
    pub class: ClassName,
    /// Version that answers at the stage.
    pub version: VersionName,
    /// How the requests reached the stage.
    pub entry: StageEntry,
}

value_type! {
    /// Answer counts of one router; the row with the higher sequence number is kept.
    pub struct PassRow {
        /// Requests and stage that the counts refer to.
        pub key: StageKey,
        /// Router whose answers are counted; only this router increases `sequence`.
        pub router: RouterId,
        /// Sequence number, one higher with each change.
        pub sequence: u64,
        /// Number of answers that reached the quality target, weighted by their age at `as_of`.
        pub passed: f64,
        /// Number of answers that missed the quality target, weighted by their age at `as_of`.
        pub failed: f64,
        /// Time that the weights refer to.
        pub as_of: UnixMillis,
    }

    /// Changes of a pool. Merging is idempotent and independent of the order.
    #[derive(Default)]
    pub struct PassDelta {
        /// Rows with changes, each complete.
        pub rows: Vec<PassRow>,
    }
}

/// A router's pool of pass rates.
#[derive(Debug)]
pub struct PassPool {
    own: RouterId,
    /// Counter that each change increments.
    revision: u64,
    rows: BTreeMap<(StageKey, RouterId), (PassRow, u64)>,
}

impl PassPool {
    /// An empty pool of the router `own`.
    pub fn new(own: RouterId) -> Self {
        Self {
            own,
            revision: 0,
            rows: BTreeMap::new(),
        }
    }

    /// Counts a rated answer of this router.
    pub fn record(&mut self, key: &StageKey, passed: bool, now: UnixMillis) {
        let known = self.rows.get(&(key.clone(), self.own.clone()));
        let mut row = known.map_or_else(
            || PassRow::empty(key, &self.own, now),
            |(row, _)| row.aged(now),
        );
        row.sequence += 1;
        if passed {
            row.passed += 1.0;
        } else {
            row.failed += 1.0;
        }
        self.put(row);
    }

    /// Merges rows of peers; order and repetition do not change the result.
    pub fn merge(&mut self, delta: &PassDelta) {
        for row in &delta.rows {
            let known = self.rows.get(&(row.key.clone(), row.router.clone()));
            if row.is_valid() && known.is_none_or(|(known, _)| known.sequence < row.sequence) {
                self.put(row.clone());
            }
        }
    }

    /// Rows that changed after revision `since`.
    pub fn delta_since(&self, since: u64) -> PassDelta {
        let changed = self.rows.values().filter(|(_, revision)| *revision > since);
        PassDelta {
            rows: changed.map(|(row, _)| row.clone()).collect(),
        }
    }

    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Pass rates of a stage: first for requests that start there, second for escalated requests.
    pub fn rates(
        &self,
        cascade: &CascadeName,
        class: &ClassName,
        version: &VersionName,
        now: UnixMillis,
    ) -> (f64, f64) {
        let key = |entry| StageKey {
            cascade: cascade.clone(),
            class: class.clone(),
            version: version.clone(),
            entry,
        };
        let first = self.rate(&key(StageEntry::First), PRIOR_PASS_RATE, now);
        let escalated = self.rate(&key(StageEntry::Escalated), first, now);
        (first, escalated)
    }

    fn rate(&self, key: &StageKey, prior: f64, now: UnixMillis) -> f64 {
        let start = (prior * PRIOR_WEIGHT, PRIOR_WEIGHT);
        let (passed, total) = self
            .rows
            .range((key.clone(), RouterId::minimum())..)
            .take_while(|((known, _), _)| known == key)
            .map(|(_, (row, _))| row.aged(now))
            .fold(start, |(passed, total), row| {
                (passed + row.passed, total + row.passed + row.failed)
            });
        passed / total
    }

    fn put(&mut self, row: PassRow) {
        self.revision += 1;
        let key = (row.key.clone(), row.router.clone());
        self.rows.insert(key, (row, self.revision));
        if self.rows.len() > ROW_LIMIT {
            let oldest = self.rows.iter().min_by_key(|(_, (row, _))| row.as_of);
            if let Some(key) = oldest.map(|(key, _)| key.clone()) {
                self.rows.remove(&key);
            }
        }
    }
}

impl PassRow {
    fn empty(key: &StageKey, router: &RouterId, now: UnixMillis) -> Self {
        Self {
            key: key.clone(),
            router: router.clone(),
            sequence: 0,
            passed: 0.0,
            failed: 0.0,
            as_of: now,
        }
    }

    /// The row with its weights decayed to `now`.
    fn aged(&self, now: UnixMillis) -> Self {
        let factor = 0.5_f64.powf(now.since(self.as_of) as f64 / HALF_LIFE_MS);
        Self {
            passed: self.passed * factor,
            failed: self.failed * factor,
            as_of: self.as_of.max(now),
            ..self.clone()
        }
    }

    fn is_valid(&self) -> bool {
        let weight = |value: f64| value.is_finite() && value >= 0.0;
        weight(self.passed) && weight(self.failed)
    }
}
