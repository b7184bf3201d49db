//! Pass rates per stage, pooled over the fleet; old answers lose weight.

use std::collections::BTreeMap;

use crate::guard::RouterId;
use crate::names::{CascadeName, ClassName, VersionName};
use crate::time::UnixMillis;

/// Time after which an answer counts half, in milliseconds.
const HALF_LIFE_MS: f64 = 600_000.0;
/// Weight of the prior, in answers.
const PRIOR_WEIGHT: f64 = 4.0;
/// Pass rate assumed of a stage without evidence; low enough to try a cheap stage now and then.
const UNKNOWN_PASS: f64 = 0.5;
/// Most rows held; the oldest makes room.
const ROW_LIMIT: usize = 8_192;

closed_set! {
    /// How a request came to a stage.
    pub enum StageEntry {
        /// It started there.
        First,
        /// An earlier stage's answer was not accepted.
        Escalated,
    }
}

/// What a pass rate is about.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct StageKey {
    /// Cascade.
    pub cascade: CascadeName,
    /// Class of the requests.
    pub class: ClassName,
    /// Version that answered.
    pub version: VersionName,
    /// How the requests came to it.
    pub entry: StageEntry,
}

value_type! {
    /// One router's tally; the row with the higher sequence number replaces the other.
    pub struct PassRow {
        /// What it is about.
        pub key: StageKey,
        /// Router whose answers it counts; only it raises `sequence`.
        pub router: RouterId,
        /// Number of the change.
        pub sequence: u64,
        /// Answers that reached the quality target, weighted by age as of `as_of`.
        pub passed: f64,
        /// Answers that did not, weighted likewise.
        pub failed: f64,
        /// Time that the weights refer to.
        pub as_of: UnixMillis,
    }

    /// Rows that changed.
    #[derive(Default)]
    pub struct PassDelta {
        /// Rows in full.
        pub rows: Vec<PassRow>,
    }
}

/// Pass rates at one router.
#[derive(Debug)]
pub struct PassPool {
    own: RouterId,
    /// Number of the last change.
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

    /// Joins rows of peers; any order and repetition gives the same pool.
    pub fn merge(&mut self, delta: &PassDelta) {
        for row in &delta.rows {
            let known = self.rows.get(&(row.key.clone(), row.router.clone()));
            if row.is_sane() && known.is_none_or(|(known, _)| known.sequence < row.sequence) {
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

    /// Number of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Pass rates of a stage for requests that start there, and for escalated ones.
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
        let first = self.rate(&key(StageEntry::First), UNKNOWN_PASS, now);
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

    /// The row with its weights as of `now`.
    fn aged(&self, now: UnixMillis) -> Self {
        let factor = 0.5_f64.powf(now.since(self.as_of) as f64 / HALF_LIFE_MS);
        Self {
            passed: self.passed * factor,
            failed: self.failed * factor,
            as_of: self.as_of.max(now),
            ..self.clone()
        }
    }

    fn is_sane(&self) -> bool {
        let weight = |value: f64| value.is_finite() && value >= 0.0;
        weight(self.passed) && weight(self.failed)
    }
}
