//! Checks of the bounds on what reaches the upstreams of a service, as the users' rules state them.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use ferry_decisions::retry::FleetRetryBound;
use ferry_rig::{FIXTURE_DEADLINE, worst_pause_excess, worst_retry_excess};
use ferry_standin::replica::{ReplicaRun, RunStatus};
use tokio::time::Instant;

use crate::caller_load::{CallOutcome, CallRecord};

/// Bound on repeated sends, as in the sample settings.
const RETRY_BOUND: FleetRetryBound = FleetRetryBound {
    ratio: 0.9,
    burst: 54.0,
    window: Duration::from_secs(10),
};
/// Number of upstreams that a rule allows for a request.
const ATTEMPTS: usize = 3;
/// Number of requests that may run at more upstreams than their rule allows.
const MAX_REQUESTS_BEYOND_ATTEMPTS: usize = 3;
/// Time by which an upstream may be given longer than the caller waits.
const DEADLINE_SLACK: Duration = Duration::from_millis(500);
/// Number of sends with a longer time, and their share of all, that the rule allows.
const MAX_LONGER: (usize, f64) = (20, 0.2);

/// A request as its caller sent it.
#[derive(Debug, Clone)]
pub struct SentRequest {
    /// Identifier of the attempt.
    pub id: String,
    /// When it was sent.
    pub at: Instant,
    /// Number of the relay that it was sent to.
    pub relay: usize,
    /// Whether it was answered with success.
    pub is_served: bool,
}

/// A fault of a relay, until it was over.
#[derive(Debug, Clone, Copy)]
pub struct Disturbance {
    /// Number of the relay.
    pub relay: usize,
    /// When it began.
    pub begin: Instant,
    /// When it was over, or the process was started again.
    pub end: Instant,
}

/// What callers sent and what reached the upstreams in one run.
pub struct BudgetRecord<'a> {
    /// All requests of the callers.
    pub sent: &'a [SentRequest],
    /// Requests that reached each upstream.
    pub runs: &'a [Vec<ReplicaRun>],
    /// Faults of the relays.
    pub disturbances: &'a [Disturbance],
}

impl SentRequest {
    /// The request of `record`, which was sent to the relay number `relay`.
    pub fn new(record: &CallRecord, relay: usize) -> Self {
        let is_served =
            matches!(&record.outcome, CallOutcome::Answered(status, _) if status.is_success());
        Self {
            id: record.id.clone(),
            at: record.sent,
            relay,
            is_served,
        }
    }
}

impl BudgetRecord<'_> {
    /// A description of each violated bound.
    pub fn violations(&self) -> Vec<String> {
        let violations = [
            self.check_repeats(),
            self.check_attempts(),
            self.check_time_left(),
            self.check_pauses(),
        ];
        violations.into_iter().flatten().collect()
    }

    /// Number of arrivals, and of those that are no first ones.
    pub fn summary(&self) -> String {
        let arrivals = self.runs.iter().map(Vec::len).sum::<usize>();
        let ids = self
            .runs
            .iter()
            .flatten()
            .map(|run| &run.request.attempt_id);
        let first = ids.collect::<BTreeSet<_>>().len();
        format!("{arrivals} arrivals, {} of them repeated", arrivals - first)
    }

    fn check_repeats(&self) -> Option<String> {
        let sent: Vec<_> = self.sent.iter().map(|request| request.at).collect();
        let excess = worst_retry_excess(&RETRY_BOUND, &sent, &self.runs.concat());
        excess.map(|excess| excess.to_string())
    }

    fn check_attempts(&self) -> Option<String> {
        let mut upstreams: HashMap<&str, BTreeSet<usize>> = HashMap::new();
        for (number, runs) in self.runs.iter().enumerate() {
            for run in runs.iter().filter(|run| run.status != RunStatus::Refused) {
                let id = run.request.attempt_id.as_str();
                upstreams.entry(id).or_default().insert(number);
            }
        }
        let beyond = upstreams
            .values()
            .filter(|upstreams| upstreams.len() > ATTEMPTS);
        let beyond = beyond.count();
        (beyond > MAX_REQUESTS_BEYOND_ATTEMPTS)
            .then(|| format!("{beyond} requests ran at more than {ATTEMPTS} upstreams"))
    }

    /// Sends with a time that ends later than the caller's, among all sends.
    fn check_time_left(&self) -> Option<String> {
        let sent_at: HashMap<&str, Instant> = self
            .sent
            .iter()
            .map(|request| (request.id.as_str(), request.at))
            .collect();
        let (mut longer, mut all) = (0, 0);
        for run in self.runs.iter().flatten() {
            let Some(sent) = sent_at.get(run.request.attempt_id.as_str()) else {
                continue;
            };
            all += 1;
            let Some(time_left) = run.request.time_left else {
                longer += 1;
                continue;
            };
            let end = *sent + FIXTURE_DEADLINE + DEADLINE_SLACK;
            longer += usize::from(run.at + time_left > end);
        }
        let (count, share) = MAX_LONGER;
        (longer > count && longer as f64 > share * f64::from(all)).then(|| {
            format!("{longer} of {all} sends give the upstream longer than the caller waits")
        })
    }

    /// Whether a fault of the relay excuses it from a pause that it was asked for at `at`.
    fn is_disturbed(&self, relay: usize, at: Instant, pause: Duration) -> bool {
        let faults = self
            .disturbances
            .iter()
            .filter(|fault| fault.relay == relay);
        faults
            .into_iter()
            .any(|fault| fault.begin < at + pause && fault.end > at)
    }

    fn check_pauses(&self) -> Option<String> {
        let relays: HashMap<&str, usize> = self
            .sent
            .iter()
            .map(|request| (request.id.as_str(), request.relay))
            .collect();
        for (number, runs) in self.runs.iter().enumerate() {
            let mut by_relay: HashMap<usize, Vec<ReplicaRun>> = HashMap::new();
            for run in runs {
                if let Some(relay) = relays.get(run.request.attempt_id.as_str()) {
                    let mut run = run.clone();
                    run.pause = run
                        .pause
                        .filter(|pause| !self.is_disturbed(*relay, run.at, *pause));
                    by_relay.entry(*relay).or_default().push(run);
                }
            }
            for (relay, runs) in by_relay {
                if let Some(excess) = worst_pause_excess(&runs) {
                    return Some(format!(
                        "relay {relay} sent upstream {number} {excess} requests in a pause that it had asked for"
                    ));
                }
            }
        }
        None
    }
}
