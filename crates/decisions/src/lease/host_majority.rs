//! Majorities of a list of hosts, counted by the age of their statements.

use std::time::Duration;

use crate::names::HostName;
use crate::time::MonotonicTime;

/// Least number of hosts that is a majority of `hosts`.
pub fn majority_of(hosts: usize) -> usize {
    hosts / 2 + 1
}

/// Number of responding hosts of one list, compared with a majority.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MajorityCount {
    /// Listed hosts with a statement within the freshness limit.
    pub responding: usize,
    /// Least number of hosts that is a majority.
    pub needed: usize,
    /// First moment at which these statements no longer make a majority; `None` if they make none
    /// now.
    pub until: Option<MonotonicTime>,
}

impl MajorityCount {
    /// Counts the hosts of `list`; `requested_at` returns the time at which a host's newest statement
    /// was requested.
    pub fn of(
        list: &[HostName],
        now: MonotonicTime,
        freshness: Duration,
        requested_at: impl Fn(&HostName) -> Option<MonotonicTime>,
    ) -> Self {
        let needed = majority_of(list.len());
        let mut ends: Vec<MonotonicTime> = list
            .iter()
            .filter_map(requested_at)
            .map(|requested| requested.after(freshness))
            .filter(|end| *end > now)
            .collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        Self {
            responding: ends.len(),
            needed,
            until: ends.get(needed - 1).copied(),
        }
    }

    /// Returns the count that is further from a majority or loses it first.
    pub fn weaker(self, other: Self) -> Self {
        let missing = |count: &Self| count.needed.saturating_sub(count.responding);
        match (self.until, other.until) {
            (Some(a), Some(b)) if b < a => other,
            (Some(_), Some(_)) => self,
            _ if missing(&other) > missing(&self) => other,
            _ => self,
        }
    }
}
