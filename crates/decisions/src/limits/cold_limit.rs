//! Limit on the requests to an upstream that is cold: until when it is, and how many permits its issuers may issue.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::registry::{UpstreamIncarnation, UpstreamRecord};
use crate::time::MonotonicTime;

/// Longest time that a statement can make an upstream cold; a longer one counts as this one, so that a wrong number doesn't bind an upstream for long.
pub const MAX_COLD_TIME: Duration = Duration::from_secs(60);
/// Time by which a statement must exceed what is known to count as news. The countdowns of entries and responses differ by their delays.
const NEWS_TOLERANCE: Duration = Duration::from_millis(50);
/// Number of statements that are remembered for each upstream, so that those that other routers pass on are not taken for new ones.
const SEEN_STATEMENTS: usize = 64;
/// Number of routers that may issue the permits of one upstream at a time.
const ISSUERS: f64 = 2.0;
/// Fraction of the rate that one issuer issues.
const ISSUED_FRACTION: f64 = 0.75;
/// Permits that an issuer keeps while nobody asks for one.
const MAX_CAPACITY: f64 = 2.0;

/// What the configuration says of cold upstreams of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ColdSpec {
    /// Time for which an upstream is cold after its availability zone is used again.
    pub start: Duration,
    /// Requests per second that a cold upstream takes from all routers together; 0 if there is no limit.
    pub per_second: f64,
}

impl ColdSpec {
    /// Requests per second that a cold upstream takes; `None` if there is no limit.
    pub fn limit(&self) -> Option<f64> {
        (self.per_second > 0.0).then_some(self.per_second)
    }

    /// Time for which an upstream is cold after the evacuation of its zone; `None` if there is no limit.
    pub fn limited_start(&self) -> Option<Duration> {
        self.limit().map(|_| self.start.min(MAX_COLD_TIME))
    }

    /// Time for which an upstream is cold by `facts`; `None` if it is not.
    pub fn left(&self, facts: &ColdFacts) -> Option<Duration> {
        let after_evacuation = self.left_after_evacuation(facts.ended_age);
        let by_default = self.left_after_evacuation(facts.uninformed_for);
        facts.stated.max(after_evacuation).max(by_default)
    }

    /// Time for which an upstream is cold whose availability zone was used again `ended_age` ago; `None` if it is not cold for that.
    pub fn left_after_evacuation(&self, ended_age: Option<Duration>) -> Option<Duration> {
        let left = self.start.min(MAX_COLD_TIME).checked_sub(ended_age?)?;
        (!left.is_zero()).then_some(left)
    }
}

/// What a router knows of whether one upstream is cold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ColdFacts {
    /// How much longer the upstream is cold by its entry and its answers.
    pub stated: Option<Duration>,
    /// Time since the evacuation of its zone ended.
    pub ended_age: Option<Duration>,
    /// Time since the start of a router that can't know whether that evacuation has just ended, and has neither a cold time nor an answer of the
    /// upstream. The evacuation may have ended right before the start.
    pub uninformed_for: Option<Duration>,
}

/// Requests that a cold upstream may get in any second: the rate times `overshoot`, and `tolerance` more.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Multiple of the rate.
    pub overshoot: f64,
    /// Requests beyond that.
    pub tolerance: f64,
}

/// Token bucket of one issuer for one cold upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdAllowance {
    /// Permits per second.
    pub per_second: f64,
    /// Permits that are kept; no permit is ever issued if it is below 1.
    pub capacity: f64,
}

impl ColdBound {
    /// Requests that an upstream that takes `per_second` requests per second may get in any second.
    pub fn requests(&self, per_second: f64) -> f64 {
        per_second * self.overshoot + self.tolerance
    }

    /// The bucket of one issuer for an upstream that takes `per_second` requests per second.
    ///
    /// In any second a bucket gives its rate and its capacity at most. Two issuers may be asked at the same time, so that each may give half of the
    /// bound. Where three quarters of the rate and two permits exceed that, less is issued; nothing if half of the bound is no more than one permit.
    pub fn allowance(&self, per_second: f64) -> ColdAllowance {
        let share = self.requests(per_second) / ISSUERS;
        if share.is_nan() || share <= 1.0 {
            return ColdAllowance {
                per_second: 0.0,
                capacity: 0.0,
            };
        }
        let capacity = (share / 2.0).clamp(1.0, MAX_CAPACITY);
        ColdAllowance {
            per_second: (per_second * ISSUED_FRACTION).min(share - capacity),
            capacity,
        }
    }
}

/// A statement that an upstream is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStatement {
    /// Identifies the statement at all routers that pass it on.
    pub id: u64,
    /// Whether an entry states it, which other routers get with the entries.
    pub is_entry: bool,
    /// How much longer the upstream is cold.
    pub left: Duration,
}

impl ColdStatement {
    /// What the entry `record`, read now, states; `None` if the upstream is not cold.
    pub fn of_entry(record: &UpstreamRecord) -> Option<Self> {
        let incarnation = &record.incarnation;
        let born = incarnation.started_at.map_or(0, |at| at.0);
        let entry = format!("{} {born} {}", incarnation.id, record.sequence);
        (!record.warm_up.is_zero()).then_some(Self {
            id: xxhash_rust::xxh3::xxh3_64(entry.as_bytes()),
            is_entry: true,
            left: record.warm_up,
        })
    }
}

/// Until when upstreams are cold: the latest time that any source states.
#[derive(Debug, Default)]
pub struct ColdBook {
    upstreams: HashMap<UpstreamIncarnation, ColdUpstream>,
}

/// What is known of one upstream.
#[derive(Debug, Clone)]
struct ColdUpstream {
    until: MonotonicTime,
    /// Statement that names this time.
    id: u64,
    is_entry: bool,
    /// Statements that were heard, the oldest first.
    seen: SmallVec<[u64; 8]>,
}

impl ColdBook {
    /// Records a statement; returns whether the upstream is cold for longer than was known.
    ///
    /// A statement that was heard before is no news, whatever time it names: each router that passes it on adds the delay of its message, and routers that
    /// pass it to one another would extend it without end.
    pub fn record(
        &mut self,
        upstream: &UpstreamIncarnation,
        statement: ColdStatement,
        now: MonotonicTime,
    ) -> bool {
        let until = now.after(statement.left.min(MAX_COLD_TIME));
        let Some(known) = self.upstreams.get_mut(upstream) else {
            if until > now {
                let cold = ColdUpstream {
                    until,
                    id: statement.id,
                    is_entry: statement.is_entry,
                    seen: SmallVec::from_slice(&[statement.id]),
                };
                self.upstreams.insert(upstream.clone(), cold);
            }
            return until > now;
        };
        if known.seen.contains(&statement.id) {
            return false;
        }
        if known.seen.len() >= SEEN_STATEMENTS {
            known.seen.remove(0);
        }
        known.seen.push(statement.id);
        let is_news = until > known.until.max(now).after(NEWS_TOLERANCE);
        if is_news {
            known.until = until;
            known.id = statement.id;
            known.is_entry = statement.is_entry;
        }
        is_news
    }

    /// How much longer `upstream` is cold, as the statement that names the latest time; `None` if it is not.
    pub fn statement(
        &self,
        upstream: &UpstreamIncarnation,
        now: MonotonicTime,
    ) -> Option<ColdStatement> {
        self.upstreams.get(upstream)?.statement(now)
    }

    /// The same for all upstreams that are cold.
    pub fn statements(
        &self,
        now: MonotonicTime,
    ) -> impl Iterator<Item = (&UpstreamIncarnation, ColdStatement)> {
        let upstreams = self.upstreams.iter();
        upstreams.filter_map(move |(upstream, cold)| Some((upstream, cold.statement(now)?)))
    }

    /// Whether a cold time of `upstream` was heard that is not forgotten.
    pub fn has_heard(&self, upstream: &UpstreamIncarnation) -> bool {
        self.upstreams.contains_key(upstream)
    }

    /// Forgets upstreams that have not been cold for a while, so that a statement about them that is still on its way is not taken for news before.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.upstreams
            .retain(|_, cold| now.since(cold.until) < MAX_COLD_TIME);
    }

    /// Whether nothing is known of any upstream.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }
}

impl ColdUpstream {
    fn statement(&self, now: MonotonicTime) -> Option<ColdStatement> {
        let left = self.until.since(now);
        (!left.is_zero()).then_some(ColdStatement {
            id: self.id,
            is_entry: self.is_entry,
            left,
        })
    }
}
