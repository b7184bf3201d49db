//! Outstanding work, slowness and load of upstreams as the routers report them.
//!
//! A router reports its own figures to a pool host. Pool hosts report the sums over the routers that report to them (a group) to one another.

use std::collections::HashMap;
use std::time::Duration;

use super::row_sum::{RowSum, add_rows, to_rows};
use super::upstream_pool::{ReportSource, ReportedWork, UpstreamPool};
use super::upstream_work::{UpstreamWorkRow, WorkLoad};
use crate::names::HostName;
use crate::registry::UpstreamIncarnation;
use crate::time::MonotonicTime;

/// Time after which the work of a report that was not followed by another one no longer counts.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// Highest number of reports that are kept; beyond it, the one that was heard longest ago is removed.
const MAX_REPORTS: usize = 512;
/// Highest number of rows of a report; further ones are ignored.
const MAX_ROWS: usize = 1_024;
/// Highest number of upstreams; rows of further ones are ignored.
const MAX_UPSTREAMS: usize = 4_096;
/// Highest number of members of a group; further ones are ignored.
const MAX_MEMBERS: usize = 512;

/// What the reports say about one upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PooledUpstream {
    /// Expected time that is left of the requests of other routers there, summed.
    pub work: Duration,
    /// Number of these requests.
    pub requests: u32,
    /// Observed time of runs as a multiple of the expected time; 1 if it is not known.
    pub slowness: f64,
    /// Decayed number of runs from which the slowness is.
    pub samples: f64,
    /// Newest load that an answer of the upstream stated.
    pub load: Option<WorkLoad>,
    /// Age of the oldest report that counts; absent if there is none.
    pub age: Option<Duration>,
}

impl Default for PooledUpstream {
    fn default() -> Self {
        Self {
            work: Duration::ZERO,
            requests: 0,
            slowness: 1.0,
            samples: 0.0,
            load: None,
            age: None,
        }
    }
}

/// A report of a group.
#[derive(Debug, Clone, Default)]
pub struct GroupReport {
    /// Number of the report, higher than that of earlier ones.
    pub sequence: u64,
    /// Mean age of the figures when the report was made.
    pub age: Duration,
    /// Sums over the members.
    pub rows: Vec<UpstreamWorkRow>,
    /// Members, by [`member_id`].
    pub members: Vec<u64>,
}

/// The last report of one source.
#[derive(Debug, Clone)]
struct Report {
    sequence: u64,
    heard_at: MonotonicTime,
    /// Age that the figures had when they were heard.
    age: Duration,
    work: HashMap<UpstreamIncarnation, ReportedWork>,
    members: Vec<u64>,
}

/// Reports of other routers.
#[derive(Debug, Clone, Default)]
pub struct PooledWork {
    reports: HashMap<ReportSource, Report>,
    upstreams: HashMap<UpstreamIncarnation, UpstreamPool>,
}

/// Number by which a group's report names its member `router`.
pub fn member_id(router: &HostName) -> u64 {
    xxhash_rust::xxh3::xxh3_64(router.as_str().as_bytes())
}

impl PooledWork {
    /// Replaces the previous report of `router`, unless `sequence` is not newer.
    pub fn merge(
        &mut self,
        router: &HostName,
        sequence: u64,
        rows: Vec<UpstreamWorkRow>,
        now: MonotonicTime,
    ) {
        let report = GroupReport {
            sequence,
            rows,
            ..GroupReport::default()
        };
        self.merge_report(ReportSource::Router(router.clone()), report, now);
    }

    /// Replaces the previous report of the group of the pool host `host`, unless its sequence is not newer.
    pub fn merge_group(&mut self, host: &HostName, report: GroupReport, now: MonotonicTime) {
        self.merge_report(ReportSource::Group(host.clone()), report, now);
    }

    /// What the other routers report about `upstream`.
    pub fn view(&self, upstream: &UpstreamIncarnation, now: MonotonicTime) -> PooledUpstream {
        let Some(pool) = self.upstreams.get(upstream) else {
            return PooledUpstream::default();
        };
        let mut cell = RowSum::default();
        cell.add_work(pool.total);
        let mut age = None;
        for report in self.reports.values() {
            if report.is_expired(now) {
                cell.subtract_work(report.work_at(upstream));
            } else {
                age = age.max(Some(report.age_at(now)));
            }
        }
        cell.add_evidence(&pool.members, now);
        cell.add_evidence(&pool.groups, now);
        let (slowness, samples) = cell.known_slowness(now);
        PooledUpstream {
            work: Duration::from_millis(cell.work.work_ms),
            requests: cell.work.requests.try_into().unwrap_or(u32::MAX),
            slowness,
            samples,
            load: cell.load.and_then(|(load, at)| load.aged(at, now)),
            age,
        }
    }

    /// Sums over all reports but those of `asker`, plus `own`, the figures of the pool host itself.
    ///
    /// For up to [`REPORT_LIFETIME`] after a change of its pool host, the figures of `asker` also count in the group of the former one; they are subtracted
    /// once for each group that names it.
    pub fn rows_for(
        &self,
        asker: &HostName,
        own: &[UpstreamWorkRow],
        now: MonotonicTime,
    ) -> Vec<UpstreamWorkRow> {
        let source = ReportSource::Router(asker.clone());
        let id = member_id(asker);
        let live = || {
            self.reports
                .values()
                .filter(|report| !report.is_expired(now))
        };
        let counted = live().filter(|report| report.members.contains(&id)).count();
        let asked = self
            .reports
            .get(&source)
            .filter(|report| !report.is_expired(now));
        let expired: Vec<&Report> = self.expired(now).collect();
        let mut sums: HashMap<&UpstreamIncarnation, RowSum> = HashMap::new();
        for (upstream, pool) in &self.upstreams {
            let mut cell = RowSum::default();
            cell.add_work(pool.total);
            for report in &expired {
                cell.subtract_work(report.work_at(upstream));
            }
            if let Some(report) = asked {
                for _ in 0..=counted {
                    cell.subtract_work(report.work_at(upstream));
                }
            }
            cell.add_evidence(&pool.members, now);
            cell.add_evidence(&pool.groups, now);
            if let Some(figure) = pool.slowness_of(&source) {
                cell.slowness.subtract(figure, now);
            }
            sums.insert(upstream, cell);
        }
        add_rows(&mut sums, own, now);
        to_rows(sums, now)
    }

    /// The report of the group of this pool host: sums over the routers that report to it, plus `own`, the figures of the pool host itself.
    pub fn group(&self, own: &[UpstreamWorkRow], sequence: u64, now: MonotonicTime) -> GroupReport {
        let mut sums: HashMap<&UpstreamIncarnation, RowSum> = HashMap::new();
        let (mut members, mut ages) = (Vec::new(), Duration::ZERO);
        for (source, report) in &self.reports {
            let ReportSource::Router(router) = source else {
                continue;
            };
            if report.is_expired(now) {
                continue;
            }
            members.push(member_id(router));
            ages += report.age_at(now);
            for (upstream, work) in &report.work {
                sums.entry(upstream).or_default().add_work(*work);
            }
        }
        for (upstream, pool) in &self.upstreams {
            let cell = sums.entry(upstream).or_default();
            cell.add_evidence(&pool.members, now);
        }
        add_rows(&mut sums, own, now);
        GroupReport {
            sequence,
            age: ages / u32::try_from(members.len().max(1)).unwrap_or(u32::MAX),
            rows: to_rows(sums, now),
            members,
        }
    }

    /// Mean age of the figures; `None` without reports.
    pub fn mean_age(&self, now: MonotonicTime) -> Option<Duration> {
        let live = self
            .reports
            .values()
            .filter(|report| !report.is_expired(now));
        let ages: Vec<Duration> = live.map(|report| report.age_at(now)).collect();
        let count = u32::try_from(ages.len()).ok().filter(|count| *count > 0)?;
        Some(ages.iter().sum::<Duration>() / count)
    }

    /// Whether routers have reported to this one within [`REPORT_LIFETIME`].
    pub fn has_members(&self, now: MonotonicTime) -> bool {
        let mut reports = self.reports.iter();
        reports.any(|(source, report)| {
            matches!(source, ReportSource::Router(_)) && !report.is_expired(now)
        })
    }

    /// Removes what is too old to be used.
    pub fn expire(&mut self, now: MonotonicTime) {
        let expired: Vec<ReportSource> = self
            .reports
            .iter()
            .filter(|(_, report)| report.is_expired(now))
            .map(|(source, _)| source.clone())
            .collect();
        for source in expired {
            self.remove(&source);
        }
        for pool in self.upstreams.values_mut() {
            pool.expire(now);
        }
        self.upstreams.retain(|_, pool| !pool.is_empty());
    }

    fn merge_report(&mut self, source: ReportSource, report: GroupReport, now: MonotonicTime) {
        let previous = self.reports.get(&source);
        if previous.is_some_and(|known| !known.is_expired(now) && report.sequence <= known.sequence)
        {
            return;
        }
        self.remove(&source);
        if self.reports.len() >= MAX_REPORTS {
            let oldest = self
                .reports
                .iter()
                .min_by_key(|(_, report)| report.heard_at);
            if let Some(oldest) = oldest.map(|(source, _)| source.clone()) {
                self.remove(&oldest);
            }
        }
        let mut work: HashMap<UpstreamIncarnation, ReportedWork> = HashMap::new();
        for row in report.rows.into_iter().take(MAX_ROWS) {
            let row = row.bounded();
            let has_room = self.upstreams.len() < MAX_UPSTREAMS;
            if work.contains_key(&row.upstream)
                || !has_room && !self.upstreams.contains_key(&row.upstream)
            {
                continue;
            }
            let pool = self.upstreams.entry(row.upstream.clone()).or_default();
            let reported = pool.add(&source, &row, now);
            work.insert(row.upstream, reported);
        }
        let mut members = report.members;
        members.truncate(MAX_MEMBERS);
        let report = Report {
            sequence: report.sequence,
            heard_at: now,
            age: report.age.min(REPORT_LIFETIME),
            work,
            members,
        };
        self.reports.insert(source, report);
    }

    /// Removes the report of `source` from the sums; its slowness figures stay.
    fn remove(&mut self, source: &ReportSource) {
        let Some(report) = self.reports.remove(source) else {
            return;
        };
        for (upstream, work) in &report.work {
            if let Some(pool) = self.upstreams.get_mut(upstream) {
                pool.total.subtract(*work);
            }
        }
    }

    fn expired(&self, now: MonotonicTime) -> impl Iterator<Item = &Report> {
        self.reports
            .values()
            .filter(move |report| report.is_expired(now))
    }
}

impl Report {
    fn is_expired(&self, now: MonotonicTime) -> bool {
        now.since(self.heard_at) >= REPORT_LIFETIME
    }

    fn age_at(&self, now: MonotonicTime) -> Duration {
        self.age + now.since(self.heard_at)
    }

    fn work_at(&self, upstream: &UpstreamIncarnation) -> ReportedWork {
        self.work.get(upstream).copied().unwrap_or_default()
    }
}
