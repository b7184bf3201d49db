//! Run counts per request id, with which tests verify what a stand-in actually ran.

use std::collections::BTreeMap;

use ferry_decisions::names::{RequestId, VersionName};
use ferry_decisions::value_type;
use ferry_kernel::shards::ShardMap;
use parking_lot::Mutex;

/// Maximum number of request ids that are counted separately; further ids are counted in the totals
/// only.
const MAX_TRACKED_REQUESTS: usize = 1_000_000;

value_type! {
    /// Number of run events by kind, for one request or summed over all.
    #[derive(Default)]
    pub struct RunCount {
        /// Runs that started.
        pub started: u64,
        /// Runs that completed.
        pub finished: u64,
        /// Runs that were cancelled, including those whose caller closed the connection.
        pub cancelled: u64,
        /// Cancelled runs that were resumed.
        pub resumed: u64,
        /// Runs that ended in a crash.
        pub crashed: u64,
        /// Calls that were refused and did not run.
        pub refused: u64,
        /// Runs that started, by version; empty for services.
        pub versions: BTreeMap<VersionName, u64>,
    }

    /// All counts of one stand-in, as `GET /standin/counters` returns them.
    pub struct CountReport {
        /// Sums over all requests, including those missing from `requests`.
        pub totals: RunCount,
        /// Prompt tokens found in the prefix cache.
        pub cached_tokens: u64,
        /// Whether `requests` omits some requests because the table reached its limit.
        pub incomplete: bool,
        /// Counts by request id.
        pub requests: BTreeMap<RequestId, RunCount>,
    }
}

/// Change in the state of a request's run, as it is counted.
#[derive(Debug, Clone, Copy)]
pub enum RunEvent<'a> {
    /// A run started; engines name the version that it runs on.
    Started(Option<&'a VersionName>),
    /// A run completed.
    Finished,
    /// A run was cancelled.
    Cancelled,
    /// A cancelled run was resumed.
    Resumed,
    /// A run ended in a crash.
    Crashed,
    /// The call was refused and did not run.
    Refused,
}

impl RunCount {
    fn add(&mut self, event: RunEvent<'_>) {
        match event {
            RunEvent::Started(version) => {
                self.started += 1;
                if let Some(version) = version {
                    *self.versions.entry(version.clone()).or_default() += 1;
                }
            }
            RunEvent::Finished => self.finished += 1,
            RunEvent::Cancelled => self.cancelled += 1,
            RunEvent::Resumed => self.resumed += 1,
            RunEvent::Crashed => self.crashed += 1,
            RunEvent::Refused => self.refused += 1,
        }
    }
}

/// Counts of one stand-in, which are kept across a simulated crash.
#[derive(Debug, Default)]
pub struct RunCounters {
    totals: Mutex<CounterTotals>,
    requests: ShardMap<RequestId, RunCount>,
}

#[derive(Debug, Default)]
struct CounterTotals {
    count: RunCount,
    cached_tokens: u64,
    tracked: usize,
    incomplete: bool,
}

impl RunCounters {
    /// Counts `event` for the request `id`.
    pub fn add(&self, id: &RequestId, event: RunEvent<'_>) {
        let mut totals = self.totals.lock();
        totals.count.add(event);
        self.requests.with(id, |shard| {
            if let Some(count) = shard.get_mut(id) {
                count.add(event);
            } else if totals.tracked < MAX_TRACKED_REQUESTS {
                totals.tracked += 1;
                shard.entry(id.clone()).or_default().add(event);
            } else {
                totals.incomplete = true;
            }
        });
    }

    /// Counts prompt tokens that were found in the prefix cache.
    pub fn add_cached_tokens(&self, tokens: u64) {
        self.totals.lock().cached_tokens += tokens;
    }

    /// Count of the request `id`; all zeros for an unknown or untracked id.
    pub fn of(&self, id: &RequestId) -> RunCount {
        self.requests
            .with(id, |shard| shard.get(id).cloned())
            .unwrap_or_default()
    }

    /// Sums over all requests.
    pub fn totals(&self) -> RunCount {
        self.totals.lock().count.clone()
    }

    /// Snapshot of all counts.
    pub fn report(&self) -> CountReport {
        let mut requests = BTreeMap::new();
        self.requests.for_each_shard(|shard| {
            requests.extend(shard.iter().map(|(id, count)| (id.clone(), count.clone())));
        });
        let totals = self.totals.lock();
        CountReport {
            totals: totals.count.clone(),
            cached_tokens: totals.cached_tokens,
            incomplete: totals.incomplete,
            requests,
        }
    }
}
