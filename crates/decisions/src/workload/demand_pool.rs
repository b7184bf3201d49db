//! Demand and throughput as the routers report them to a pool host, and as pool hosts report the sums of their groups to one another.

use std::collections::HashMap;

use super::demand_row::{DEMAND_LIFETIME, DemandKey, DemandRow, MAX_DEMAND_ROWS};
use super::pooled_work::member_id;
use crate::names::HostName;
use crate::time::MonotonicTime;

/// Highest number of reports that are kept; beyond it, the one that was heard longest ago is removed.
const MAX_REPORTS: usize = 512;
/// Highest number of rows of the sums of a group.
pub const MAX_GROUP_ROWS: usize = 1_024;

/// Whose figures a report states.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum DemandSource {
    Router(HostName),
    Group(HostName),
}

/// The last report of one source.
#[derive(Debug, Clone)]
struct DemandReport {
    sequence: u64,
    heard_at: MonotonicTime,
    rows: Vec<DemandRow>,
    members: Vec<u64>,
}

/// Reports of routers, and of the groups of other pool hosts.
#[derive(Debug, Default)]
pub struct DemandPool {
    reports: HashMap<DemandSource, DemandReport>,
}

impl DemandPool {
    /// Replaces the report of `router`, unless `sequence` is not newer.
    pub fn merge(
        &mut self,
        router: &HostName,
        sequence: u64,
        mut rows: Vec<DemandRow>,
        now: MonotonicTime,
    ) {
        rows.truncate(MAX_DEMAND_ROWS);
        let source = DemandSource::Router(router.clone());
        self.replace(source, sequence, rows, Vec::new(), now);
    }

    /// Replaces the sums of the group of the pool host `host` with its `members`, unless `sequence` is not newer.
    pub fn merge_group(
        &mut self,
        host: &HostName,
        sequence: u64,
        mut rows: Vec<DemandRow>,
        mut members: Vec<u64>,
        now: MonotonicTime,
    ) {
        rows.truncate(MAX_GROUP_ROWS);
        members.truncate(MAX_REPORTS);
        let source = DemandSource::Group(host.clone());
        self.replace(source, sequence, rows, members, now);
    }

    /// Sums over all reports and `own`, without those of `asker`: its own report, and once for each group that lists it.
    pub fn rows_for(
        &self,
        asker: &HostName,
        own: &[DemandRow],
        now: MonotonicTime,
    ) -> Vec<DemandRow> {
        let id = member_id(asker);
        let mut sums = DemandSums::default();
        let mut listed = 0;
        for (source, report) in &self.reports {
            listed += usize::from(report.is_live(now) && report.members.contains(&id));
            if !matches!(source, DemandSource::Router(router) if router == asker) {
                sums.add_all(report.rows(now));
            }
        }
        let asked = self.reports.get(&DemandSource::Router(asker.clone()));
        for _ in 0..listed {
            for row in asked.into_iter().flat_map(|report| report.rows(now)) {
                sums.subtract(&row);
            }
        }
        sums.add_all(own.iter().copied());
        sums.into_rows()
    }

    /// Sums over all reports.
    pub fn rows(&self, now: MonotonicTime) -> Vec<DemandRow> {
        let mut sums = DemandSums::default();
        for report in self.reports.values() {
            sums.add_all(report.rows(now));
        }
        sums.into_rows()
    }

    /// Sums over the routers that report to this pool host, and `own`.
    pub fn group(&self, own: &[DemandRow], now: MonotonicTime) -> Vec<DemandRow> {
        let mut sums = DemandSums::default();
        for (source, report) in &self.reports {
            if matches!(source, DemandSource::Router(_)) {
                sums.add_all(report.rows(now));
            }
        }
        sums.add_all(own.iter().copied());
        sums.into_rows()
    }

    /// Whether other routers have reported within [`DEMAND_LIFETIME`], be it that they have no demand.
    pub fn has_reports(&self, now: MonotonicTime) -> bool {
        self.reports.values().any(|report| report.is_live(now))
    }

    /// Removes reports of which no row counts any more.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.reports.retain(|_, report| report.is_live(now));
    }

    fn replace(
        &mut self,
        source: DemandSource,
        sequence: u64,
        rows: Vec<DemandRow>,
        members: Vec<u64>,
        now: MonotonicTime,
    ) {
        let known = self.reports.get(&source);
        if known.is_some_and(|known| known.is_live(now) && sequence <= known.sequence) {
            return;
        }
        if known.is_none() && self.reports.len() >= MAX_REPORTS {
            let oldest = self.reports.iter().min_by_key(|(_, known)| known.heard_at);
            if let Some(oldest) = oldest.map(|(source, _)| source.clone()) {
                self.reports.remove(&oldest);
            }
        }
        let rows = rows.into_iter().filter_map(DemandRow::bounded).collect();
        let report = DemandReport {
            sequence,
            heard_at: now,
            rows,
            members,
        };
        self.reports.insert(source, report);
    }
}

impl DemandReport {
    fn is_live(&self, now: MonotonicTime) -> bool {
        now.since(self.heard_at) < DEMAND_LIFETIME
    }

    /// Rows that are not too old.
    fn rows(&self, now: MonotonicTime) -> impl Iterator<Item = DemandRow> + '_ {
        let elapsed = now.since(self.heard_at);
        self.rows.iter().filter_map(move |row| row.aged(elapsed))
    }
}

/// Sums of rows by key.
#[derive(Debug, Default)]
struct DemandSums(HashMap<DemandKey, DemandSum>);

#[derive(Debug, Default)]
struct DemandSum {
    demand: u64,
    completed: u64,
    /// Ages weighted by the larger of the two figures.
    ages: u64,
    weight: u64,
}

impl DemandSums {
    fn add_all(&mut self, rows: impl Iterator<Item = DemandRow>) {
        for row in rows {
            let sum = self.0.entry(row.key).or_default();
            let weight = u64::from(row.demand.max(row.completed));
            sum.demand += u64::from(row.demand);
            sum.completed += u64::from(row.completed);
            sum.ages += u64::from(row.age_ms) * weight;
            sum.weight += weight;
        }
    }

    fn subtract(&mut self, row: &DemandRow) {
        if let Some(sum) = self.0.get_mut(&row.key) {
            sum.demand = sum.demand.saturating_sub(row.demand.into());
            sum.completed = sum.completed.saturating_sub(row.completed.into());
        }
    }

    fn into_rows(self) -> Vec<DemandRow> {
        let mut rows: Vec<DemandRow> = self
            .0
            .into_iter()
            .filter(|(_, sum)| sum.demand > 0 || sum.completed > 0)
            .map(|(key, sum)| DemandRow {
                key,
                demand: u32::try_from(sum.demand).unwrap_or(u32::MAX),
                completed: u32::try_from(sum.completed).unwrap_or(u32::MAX),
                age_ms: (sum.ages / sum.weight.max(1)) as u32,
            })
            .collect();
        rows.sort_by_key(|row| std::cmp::Reverse((row.demand.max(row.completed), row.key)));
        rows.truncate(MAX_GROUP_ROWS);
        rows
    }
}
