//! From which routers one router syncs, and whether it reads the store itself.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use super::{ProbePlace, RouterEntry, StoreProbe, SyncOrder};
use crate::names::HostName;
use crate::time::MonotonicTime;

/// Shortest and longest time for which a router that did not answer is not asked again; it doubles with each failure.
const MIN_FAILURE_BACKOFF: Duration = Duration::from_secs(3);
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(24);
/// Time for which a router whose content was outdated is not preferred, and for which one that reads the store goes on in place of another one, or
/// while reads fail.
const HOLD_TIME: Duration = Duration::from_secs(3);
/// Time since its last read of the store after which a router counts as cut off from it.
const MAX_READ_AGE: Duration = Duration::from_millis(900);
/// Number of routers before this one, in its availability zone, that are asked in turn while none has recent content.
const ZONE_CANDIDATES: usize = 3;
/// The same for the first routers of each other zone.
const OTHER_CANDIDATES: usize = 2;

/// Routers to ask next.
pub type SourceList = SmallVec<[HostName; 2]>;

/// How a query to a source ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyncOutcome {
    /// The source's content is recent.
    Recent,
    /// Its content is what this router has read from the store.
    OwnReads,
    /// It answered, and its content is older than is useful.
    Outdated,
    /// It did not answer.
    Failed,
}

/// Failures of one source in a row.
#[derive(Debug, Clone, Copy)]
struct SourceFailure {
    at: MonotonicTime,
    backoff: Duration,
}

/// Decides from whom a router syncs.
///
/// In each availability zone the first router of the order that answers reads the store, and the others sync from it. A router without recent
/// content asks the next ones of its zone, and the first ones of other zones; only if none of them has recent content, it
/// tries the store itself, one router of the zone after the other. One that reads the store goes on until another router has given it recent
/// content: that one may be asked is no sign that it answers.
#[derive(Debug)]
pub struct SyncPlanner {
    own: RouterEntry,
    failures: HashMap<HostName, SourceFailure>,
    /// When a source last answered with outdated content.
    outdated: HashMap<HostName, MonotonicTime>,
    /// The last source with recent content, until it fails or is outdated.
    proven: Option<HostName>,
    probe: StoreProbe,
    /// When this router last read the store.
    read_at: Option<MonotonicTime>,
    /// End of the time for which this router reads the store in place of another one.
    stands_in_until: Option<MonotonicTime>,
    /// Number of candidates asked so far.
    turn: usize,
    started_at: MonotonicTime,
}

impl SyncPlanner {
    /// A planner of the router `own`, which starts at `now`.
    pub fn new(own: RouterEntry, now: MonotonicTime) -> Self {
        Self {
            turn: xxh3_64(own.host.as_str().as_bytes()) as usize,
            own,
            failures: HashMap::new(),
            outdated: HashMap::new(),
            proven: None,
            probe: StoreProbe::default(),
            read_at: None,
            stands_in_until: None,
            started_at: now,
        }
    }

    fn place(&self, order: &SyncOrder, now: MonotonicTime) -> ProbePlace {
        let before = order.before(&self.own);
        let before = before.filter(|host| self.is_usable(host, now));
        ProbePlace {
            before: before.count() as u32,
            routers: order.of_zone(&self.own.zone).count() as u32,
        }
    }

    /// Whether this router reads the store: for its availability zone, or in place of a router that is cut off from it.
    pub fn is_reader(&self, order: &SyncOrder, now: MonotonicTime) -> bool {
        self.stands_in_until.is_some_and(|end| now < end)
            || self.preferred(order, now).is_none()
            || self.proven.is_none() && self.has_read_within(HOLD_TIME, now)
    }

    /// The router that gave this one recent content; `None` while none does.
    pub fn proven(&self) -> Option<&HostName> {
        self.proven.as_ref()
    }

    /// When this router, which is no reader, is to read the store once; `None` while other routers have recent content.
    pub fn next_probe(&self, order: &SyncOrder, now: MonotonicTime) -> Option<MonotonicTime> {
        self.probe.next_at(self.place(order, now))
    }

    /// Records an attempt to read the store that [`Self::next_probe`] called for.
    pub fn record_probe(&mut self, now: MonotonicTime) {
        self.probe.record(now);
    }

    /// Records that this router read the store at `now`. If no source has recent content, it goes on reading for a time.
    pub fn record_read(&mut self, now: MonotonicTime) {
        self.read_at = Some(now);
        if self.probe.is_lacking() {
            self.stands_in_until = Some(now.after(HOLD_TIME));
            self.probe.end();
        }
    }

    /// Routers to ask next; empty while this router reads the store and need not ask any.
    ///
    /// A source that is not known to have recent content is asked together with one that is, if there is one.
    pub fn sources(&mut self, order: &SyncOrder, now: MonotonicTime) -> SourceList {
        let preferred = self.preferred(order, now).cloned();
        let proven = self.proven.clone().filter(|host| self.is_usable(host, now));
        let mut sources = SourceList::new();
        match (preferred, proven) {
            (None, _) if self.expects_reads(now) => self.proven = None,
            (None, Some(proven)) => sources.push(proven),
            (None, None) => sources.extend(self.next_candidate(order, now)),
            (Some(preferred), Some(proven)) => {
                if preferred != proven && !self.is_outdated(&preferred, now) {
                    sources.push(preferred);
                }
                sources.push(proven);
            }
            (Some(preferred), None) => {
                let is_lacking = self.probe.is_lacking();
                let candidate = is_lacking.then(|| self.next_candidate(order, now));
                let candidate = candidate.flatten().filter(|host| *host != preferred);
                sources.push(preferred);
                sources.extend(candidate);
            }
        }
        sources
    }

    /// Whether the router that is asked first has given recent content, so that another one is no source, whatever it answers.
    pub fn is_superseded(&self, host: &HostName, order: &SyncOrder, now: MonotonicTime) -> bool {
        let proven = self.proven();
        proven.is_some_and(|proven| proven != host) && proven == self.preferred(order, now)
    }

    /// Records how a query to `host` ended at `now`.
    pub fn record(&mut self, host: &HostName, outcome: SyncOutcome, now: MonotonicTime) {
        match outcome {
            SyncOutcome::Recent => {
                self.failures.remove(host);
                self.outdated.remove(host);
                self.proven = Some(host.clone());
                self.stands_in_until = None;
                self.probe.end();
                return;
            }
            SyncOutcome::OwnReads | SyncOutcome::Outdated => {
                self.failures.remove(host);
                self.outdated.insert(host.clone(), now);
            }
            SyncOutcome::Failed => self.record_failure(host, now),
        }
        self.proven.take_if(|proven| proven == host);
        self.record_lack(now);
    }

    /// Records at `now` that no source can be asked, or that none is left with recent content.
    pub fn record_lack(&mut self, now: MonotonicTime) {
        if self.proven.is_some() {
            return;
        }
        match self.has_read_recently(now) {
            true => self.stands_in_until = Some(now.after(HOLD_TIME)),
            false => self.probe.begin(now),
        }
    }

    /// The first router of the own zone before this one that can be asked.
    fn preferred<'a>(&'a self, order: &'a SyncOrder, now: MonotonicTime) -> Option<&'a HostName> {
        let mut before = order.before(&self.own);
        before.find(|host| self.is_usable(host, now))
    }

    /// The next one of the routers that may have recent content while the preferred one has none.
    fn next_candidate(&mut self, order: &SyncOrder, now: MonotonicTime) -> Option<HostName> {
        let near = order
            .of_zone(&self.own.zone)
            .filter(|host| **host != self.own.host);
        let near = near
            .filter(|host| self.is_usable(host, now))
            .take(ZONE_CANDIDATES);
        let far = order.heads_of_others(&self.own.zone, OTHER_CANDIDATES);
        let far = far.into_iter().filter(|host| self.is_usable(host, now));
        let candidates: Vec<&HostName> = near.chain(far).collect();
        let index = self.turn.checked_rem(candidates.len())?;
        let candidate = candidates[index].clone();
        self.turn = self.turn.wrapping_add(1);
        Some(candidate)
    }

    fn record_failure(&mut self, host: &HostName, now: MonotonicTime) {
        let backoff = self
            .failures
            .get(host)
            .map_or(MIN_FAILURE_BACKOFF, |failure| {
                (failure.backoff * 2).min(MAX_FAILURE_BACKOFF)
            });
        let failure = SourceFailure { at: now, backoff };
        self.failures.insert(host.clone(), failure);
    }

    fn is_usable(&self, host: &HostName, now: MonotonicTime) -> bool {
        let failure = self.failures.get(host);
        failure.is_none_or(|failure| now.since(failure.at) >= failure.backoff)
    }

    fn is_outdated(&self, host: &HostName, now: MonotonicTime) -> bool {
        let at = self.outdated.get(host);
        at.is_some_and(|at| now.since(*at) < HOLD_TIME)
    }

    fn has_read_recently(&self, now: MonotonicTime) -> bool {
        self.has_read_within(MAX_READ_AGE, now)
    }

    fn has_read_within(&self, time: Duration, now: MonotonicTime) -> bool {
        self.read_at.is_some_and(|at| now.since(at) < time)
    }

    /// Whether this router has contact with the store, or has just started.
    fn expects_reads(&self, now: MonotonicTime) -> bool {
        self.has_read_recently(now) || now.since(self.started_at) < MAX_READ_AGE
    }
}
