//! Metrics of requests by class (rule) and group of workspaces.
//!
//! The number of series does not grow with that of the workspaces, and is bounded over all configurations that a process has had.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::names::{RuleName, WorkspaceName};
use metrics::{Counter, Gauge, SharedString};
use parking_lot::Mutex;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

/// Groups of workspaces, by the hash of the name, and the group of requests without a workspace. With 24 workspaces, eight groups have three on
/// average: one at nine times its usual demand stands out, and a rule has at most nine times the series of one without groups.
const GROUPS: [&str; 9] = ["0", "1", "2", "3", "4", "5", "6", "7", NO_WORKSPACE];
/// Group of requests without a workspace.
const NO_WORKSPACE: &str = "none";
/// Number of rules that get series of their own. Configurations that rename rules again and again must not use up the memory of a small host.
const MAX_RULES: usize = 64;
/// Name under which further rules are counted together.
const OTHER_RULES: &str = "other";
/// Reasons of rejections that a class has at most, as a rule.
const INLINE_REASONS: usize = 4;

/// Series of all classes; looked up once for each request.
#[derive(Debug, Default)]
pub struct ClassMetrics {
    rules: Mutex<HashMap<RuleName, [Option<Arc<ClassSeries>>; GROUPS.len()]>>,
}

/// Series of one class and group of workspaces.
#[derive(Debug)]
pub struct ClassSeries {
    rule: SharedString,
    group: &'static str,
    in_progress: Gauge,
    runs: Counter,
    expected: Counter,
    actual: Counter,
    /// Rejections by reason.
    rejections: Mutex<SmallVec<[(&'static str, Counter); INLINE_REASONS]>>,
}

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub struct ClassRequest {
    series: Arc<ClassSeries>,
}

impl ClassMetrics {
    /// Counts a request of `rule` and `workspace`.
    pub fn begin(&self, rule: &RuleName, workspace: Option<&WorkspaceName>) -> ClassRequest {
        let series = self.series(rule, workspace);
        series.in_progress.increment(1.0);
        ClassRequest { series }
    }

    fn series(&self, rule: &RuleName, workspace: Option<&WorkspaceName>) -> Arc<ClassSeries> {
        let group = group_of(workspace);
        let mut rules = self.rules.lock();
        let rule = match rules.contains_key(rule) || rules.len() < MAX_RULES {
            true => rule.clone(),
            false => RuleName::new(OTHER_RULES),
        };
        let groups = rules.entry(rule.clone()).or_default();
        let series = groups[group].get_or_insert_with(|| Arc::new(ClassSeries::new(&rule, group)));
        Arc::clone(series)
    }
}

impl ClassSeries {
    fn new(rule: &RuleName, group: usize) -> Self {
        let rule = SharedString::from(rule.as_str().to_owned());
        let group = GROUPS[group];
        let labels = [
            metrics::Label::new("rule", rule.clone()),
            metrics::Label::from_static_parts("group", group),
        ];
        Self {
            in_progress: metrics::gauge!("ferry_class_in_progress", labels.iter()),
            runs: metrics::counter!("ferry_class_runs_total", labels.iter()),
            expected: metrics::counter!("ferry_class_expected_milliseconds_total", labels.iter()),
            actual: metrics::counter!("ferry_class_actual_milliseconds_total", labels.iter()),
            rejections: Mutex::default(),
            rule,
            group,
        }
    }

    /// Counts a run that was expected to take `expected` and took `actual`.
    pub fn record_run(&self, expected: Duration, actual: Duration) {
        self.runs.increment(1);
        self.expected.increment(nearest_millis(expected));
        self.actual.increment(nearest_millis(actual));
    }

    fn record_rejection(&self, reason: &'static str) {
        let mut rejections = self.rejections.lock();
        let known = rejections.iter().find(|(name, _)| *name == reason);
        if let Some((_, counter)) = known {
            return counter.increment(1);
        }
        let counter = metrics::counter!("ferry_class_rejections_total", "rule" => self.rule.clone(), "group" => self.group, "reason" => reason);
        counter.increment(1);
        rejections.push((reason, counter));
    }
}

impl ClassRequest {
    /// Series of the request's class and group.
    pub fn series(&self) -> &Arc<ClassSeries> {
        &self.series
    }

    /// Counts that the request is rejected for `reason`.
    pub fn record_rejection(&self, reason: &'static str) {
        self.series.record_rejection(reason);
    }
}

impl Drop for ClassRequest {
    fn drop(&mut self) {
        self.series.in_progress.decrement(1.0);
    }
}

/// Index of the group of `workspace`.
fn group_of(workspace: Option<&WorkspaceName>) -> usize {
    let groups = GROUPS.len() - 1;
    workspace.map_or(groups, |workspace| {
        (xxh3_64(workspace.as_str().as_bytes()) % groups as u64) as usize
    })
}

fn nearest_millis(time: Duration) -> u64 {
    (time.as_secs_f64() * 1_000.0).round() as u64
}
