//! Rows that other routers have received from this one and will store, so that each version is sent to them once.

use std::collections::{BTreeMap, HashMap};

use super::row_version::RowVersion;
use super::{CrashRow, CrashRowKey};
use crate::names::HostName;

/// Number of rows kept for one router; beyond it all are forgotten, and sent again.
const ROW_LIMIT: usize = 4_096;
/// Number of routers for which rows are kept.
const ROUTER_LIMIT: usize = 4;

/// Versions of rows that other routers have confirmed to have received.
#[derive(Debug, Default)]
pub struct ReportedRows {
    routers: HashMap<HostName, RouterReports>,
}

/// What one router has received.
#[derive(Debug, Default)]
struct RouterReports {
    /// Its incarnation; absent until it is known.
    incarnation: Option<String>,
    versions: BTreeMap<CrashRowKey, RowVersion>,
}

impl ReportedRows {
    /// Records that `router` has received `rows`.
    pub fn add(&mut self, router: &HostName, rows: &[CrashRow]) {
        if !self.routers.contains_key(router) && self.routers.len() >= ROUTER_LIMIT {
            self.routers.clear();
        }
        let reports = self.routers.entry(router.clone()).or_default();
        if reports.versions.len() + rows.len() > ROW_LIMIT {
            reports.versions.clear();
        }
        for row in rows {
            reports
                .versions
                .insert(row.key.clone(), RowVersion::of(row));
        }
    }

    /// Records that `router` answered as `incarnation`; another incarnation than before has received nothing.
    pub fn record_incarnation(&mut self, router: &HostName, incarnation: &str) {
        let reports = self.routers.entry(router.clone()).or_default();
        let known = reports.incarnation.replace(incarnation.to_owned());
        if known.is_some_and(|known| known != incarnation) {
            reports.versions.clear();
        }
    }

    /// Version of the row `key` that `router` has received.
    pub(super) fn version(&self, router: &HostName, key: &CrashRowKey) -> Option<RowVersion> {
        self.routers.get(router)?.versions.get(key).copied()
    }
}
