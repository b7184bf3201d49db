//! What ran: counts for each request id, kept as the witness of a test.

use std::collections::BTreeMap;

use ferry_decisions::names::{RequestId, VersionName};
use ferry_decisions::value_type;
use ferry_kernel::shards::ShardMap;
use parking_lot::Mutex;

/// Request ids that are counted one by one; those beyond it appear in the totals only.
const TRACKED_LIMIT: usize = 1_000_000;

value_type! {
    /// How often something happened to one request.
    #[derive(Default)]
    pub struct RunCount {
        /// Runs that began.
        pub started: u64,
        /// Runs that came to their end.
        pub finished: u64,
        /// Runs that were cancelled, also by a closed connection.
        pub cancelled: u64,
        /// Cancelled runs that were taken up again.
        pub resumed: u64,
        /// Runs that ended in a crash.
        pub crashed: u64,
        /// Calls refused without a run.
        pub refused: u64,
        /// Runs that began, for each version; empty for services.
        pub versions: BTreeMap<VersionName, u64>,
    }

    /// All counts of one stand-in.
    pub struct CountReport {
        /// Sums over all requests, tracked or not.
        pub totals: RunCount,
        /// Prompt tokens that the prefix cache saved.
        pub cached_tokens: u64,
        /// Whether requests beyond the table's limit were left out of `requests`.
        pub incomplete: bool,
        /// Counts of each request.
        pub requests: BTreeMap<RequestId, RunCount>,
    }
}

/// What can happen to a request.
#[derive(Debug, Clone, Copy)]
pub enum RunEvent<'a> {
    /// A run began, on a version for engines.
    Started(Option<&'a VersionName>),
    /// A run came to its end.
    Finished,
    /// A run was cancelled.
    Cancelled,
    /// A cancelled run goes on.
    Resumed,
    /// A run ended in a crash.
    Crashed,
    /// The call was refused unrun.
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

/// Counts of one stand-in; they outlive a simulated crash.
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
            } else if totals.tracked < TRACKED_LIMIT {
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

    /// Count of the request `id`; zeros when it was never seen.
    pub fn of(&self, id: &RequestId) -> RunCount {
        self.requests
            .with(id, |shard| shard.get(id).cloned())
            .unwrap_or_default()
    }

    /// Sums over all requests.
    pub fn totals(&self) -> RunCount {
        self.totals.lock().count.clone()
    }

    /// Everything counted so far.
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
