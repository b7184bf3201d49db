//! Figures of one upstream over the reports of all sources.

use super::upstream_work::{SlownessFigure, UpstreamWorkRow, WorkLoad};
use crate::names::HostName;
use crate::time::MonotonicTime;

/// Whose figures a report states.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum ReportSource {
    /// Those of this router.
    Router(HostName),
    /// The sums over the routers that report to this pool host.
    Group(HostName),
}

/// Work of one report at one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ReportedWork {
    pub(super) work_ms: u64,
    pub(super) requests: u64,
}

/// Figures of one upstream over all reports.
#[derive(Debug, Clone, Default)]
pub(super) struct UpstreamPool {
    pub(super) total: ReportedWork,
    /// Slowness by source, from which the sums of it are.
    slowness: Vec<(ReportSource, SlownessFigure)>,
    /// What routers reported.
    pub(super) members: Evidence,
    /// What groups reported.
    pub(super) groups: Evidence,
}

/// Slowness and load of one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Evidence {
    /// Sum over the sources.
    pub(super) slowness: SlownessFigure,
    /// Newest load that was stated, and when.
    pub(super) load: Option<(WorkLoad, MonotonicTime)>,
}

impl ReportedWork {
    pub(super) fn add(&mut self, other: Self) {
        self.work_ms += other.work_ms;
        self.requests += other.requests;
    }

    pub(super) fn subtract(&mut self, other: Self) {
        self.work_ms = self.work_ms.saturating_sub(other.work_ms);
        self.requests = self.requests.saturating_sub(other.requests);
    }
}

impl UpstreamPool {
    /// Adds the figures of `row`; returns its work.
    pub(super) fn add(
        &mut self,
        source: &ReportSource,
        row: &UpstreamWorkRow,
        now: MonotonicTime,
    ) -> ReportedWork {
        let work = ReportedWork {
            work_ms: row.work_ms.into(),
            requests: row.requests.into(),
        };
        self.total.add(work);
        if row.samples > 0.0 {
            let figure = SlownessFigure::new(row.slowness, row.samples, now);
            let position = self.slowness.iter().position(|(from, _)| from == source);
            let previous = position.map(|position| self.slowness.swap_remove(position));
            let sum = &mut self.evidence(source).slowness;
            if let Some((_, previous)) = previous {
                sum.subtract(&previous, now);
            }
            sum.add(&figure, now);
            self.slowness.push((source.clone(), figure));
        }
        if let Some(load) = row.load {
            let evidence = self.evidence(source);
            evidence.load = newer(evidence.load, Some((load, load.stated_at(now))));
        }
        work
    }

    /// Removes what is too old to be used, and computes the sums of the slowness again, so that errors of rounding don't add up.
    pub(super) fn expire(&mut self, now: MonotonicTime) {
        self.slowness.retain(|(_, figure)| figure.is_known(now));
        for evidence in [&mut self.members, &mut self.groups] {
            evidence.slowness = SlownessFigure::default();
            evidence.load = evidence
                .load
                .filter(|(load, at)| load.aged(*at, now).is_some());
        }
        for (source, figure) in std::mem::take(&mut self.slowness) {
            self.evidence(&source).slowness.add(&figure, now);
            self.slowness.push((source, figure));
        }
    }

    fn evidence(&mut self, source: &ReportSource) -> &mut Evidence {
        match source {
            ReportSource::Router(_) => &mut self.members,
            ReportSource::Group(_) => &mut self.groups,
        }
    }

    pub(super) fn slowness_of(&self, source: &ReportSource) -> Option<&SlownessFigure> {
        let mut figures = self.slowness.iter();
        let found = figures.find(|(from, _)| from == source);
        found.map(|(_, figure)| figure)
    }

    pub(super) fn is_empty(&self) -> bool {
        let has_load = self.members.load.is_some() || self.groups.load.is_some();
        self.total.requests == 0 && self.slowness.is_empty() && !has_load
    }
}

/// The load that was stated last.
pub(super) fn newer(
    one: Option<(WorkLoad, MonotonicTime)>,
    other: Option<(WorkLoad, MonotonicTime)>,
) -> Option<(WorkLoad, MonotonicTime)> {
    match (one, other) {
        (Some((_, at)), Some((_, other_at))) if other_at > at => other,
        (Some(_), _) => one,
        (None, _) => other,
    }
}
