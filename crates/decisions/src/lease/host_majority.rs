//! Counting which hosts of a list were heard.

use std::time::Duration;

use crate::names::HostName;
use crate::time::MonotonicTime;

/// Number of hosts that make a majority of `hosts`.
pub fn majority_of(hosts: usize) -> usize {
    hosts / 2 + 1
}

/// How much of one list of hosts was heard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MajorityCount {
    /// Listed hosts heard within the freshness limit.
    pub heard: usize,
    /// Hosts that make a majority.
    pub needed: usize,
    /// First moment at which no majority is heard any more; `None` when none is heard now.
    pub until: Option<MonotonicTime>,
}

impl MajorityCount {
    /// Counts the hosts of `list`; `asked_at` gives when a host's newest statement was asked for.
    pub fn of(
        list: &[HostName],
        now: MonotonicTime,
        freshness: Duration,
        asked_at: impl Fn(&HostName) -> Option<MonotonicTime>,
    ) -> Self {
        let needed = majority_of(list.len());
        let mut ends: Vec<MonotonicTime> = list
            .iter()
            .filter_map(asked_at)
            .map(|asked| asked.after(freshness))
            .filter(|end| *end > now)
            .collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        Self {
            heard: ends.len(),
            needed,
            until: ends.get(needed - 1).copied(),
        }
    }

    /// Of two counts, the one that is further from a majority.
    pub fn weaker(self, other: Self) -> Self {
        let missing = |count: &Self| count.needed.saturating_sub(count.heard);
        match (self.until, other.until) {
            (Some(a), Some(b)) if b < a => other,
            (Some(_), Some(_)) => self,
            _ if missing(&other) > missing(&self) => other,
            _ => self,
        }
    }
}
