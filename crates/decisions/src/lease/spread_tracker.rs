//! How far a configuration record has spread: published, accepted, in force.

use std::collections::BTreeMap;
use std::time::Duration;

use super::PeerStatement;
use super::host_majority::majority_of;
use crate::names::{HostName, Incarnation};
use crate::time::MonotonicTime;

/// Added to the freshness limit for clocks that run at unlike rates.
const CLOCK_MARGIN: Duration = Duration::from_millis(100);

closed_set! {
    /// How far a record has spread.
    pub enum SpreadStage {
        /// The log has it.
        Published,
        /// A majority of the listed router hosts held it at one moment, so it cannot be lost.
        Accepted,
        /// No router admits work without it.
        InForce,
    }
}

/// How far a record has spread and who is waited for.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SpreadStatus {
    /// Stage reached.
    pub stage: SpreadStage,
    /// Hosts that have not confirmed the record; empty once it is in force.
    pub waiting: Vec<HostName>,
}

/// Follows one record from this router's point of view.
#[derive(Debug, Clone)]
pub struct SpreadTracker {
    /// Longest age of evidence for a freshness lease.
    freshness: Duration,
    /// Offset that a host needs next once it holds the record.
    needed: u64,
    confirmations: BTreeMap<HostName, HostConfirmation>,
    /// When a majority was first seen to hold the record.
    accepted: Option<MonotonicTime>,
    /// Whether the record was in force before; it stays so.
    in_force: bool,
}

/// What one process was heard to hold; it held the record at least from `heard` to `asked`.
#[derive(Debug, Clone)]
struct HostConfirmation {
    incarnation: Incarnation,
    /// When the first confirmation arrived.
    heard: MonotonicTime,
    /// When the newest confirmation was asked for.
    asked: MonotonicTime,
}

impl SpreadTracker {
    /// Follows the record at `offset`.
    pub fn new(offset: u64, freshness: Duration) -> Self {
        Self {
            freshness,
            needed: offset + 1,
            confirmations: BTreeMap::new(),
            accepted: None,
            in_force: false,
        }
    }

    /// Takes a statement that arrived at `now`; this router makes one of its own as of `now`.
    pub fn observe(&mut self, now: MonotonicTime, statement: &PeerStatement) {
        if statement.next_offset < self.needed {
            self.forget_earlier_life(statement);
            return;
        }
        let fresh = HostConfirmation {
            incarnation: statement.incarnation,
            heard: now,
            asked: statement.asked,
        };
        match self.confirmations.get_mut(&statement.host) {
            Some(known) if known.incarnation == statement.incarnation => {
                known.asked = known.asked.max(statement.asked);
            }
            _ => {
                self.confirmations.insert(statement.host.clone(), fresh);
            }
        }
    }

    /// How far the record has spread; `known` are all hosts listed or heard of.
    pub fn status(
        &mut self,
        now: MonotonicTime,
        listed: &[HostName],
        known: &[HostName],
    ) -> SpreadStatus {
        if self.accepted.is_none() && self.is_held_by_majority(listed) {
            self.accepted = Some(now);
        }
        let mut waiting: Vec<HostName> = listed
            .iter()
            .chain(known)
            .filter(|host| !self.confirmations.contains_key(*host))
            .cloned()
            .collect();
        waiting.sort_unstable();
        waiting.dedup();
        let stage = self.stage(now, waiting.is_empty());
        if stage == SpreadStage::InForce {
            waiting.clear();
        }
        SpreadStatus { stage, waiting }
    }

    fn stage(&mut self, now: MonotonicTime, all_confirmed: bool) -> SpreadStage {
        let Some(accepted) = self.accepted else {
            return SpreadStage::Published;
        };
        let leases_ended = now >= accepted.after(self.freshness + CLOCK_MARGIN);
        self.in_force = self.in_force || all_confirmed || leases_ended;
        if self.in_force {
            SpreadStage::InForce
        } else {
            SpreadStage::Accepted
        }
    }

    /// Whether there is one moment at which a majority of `listed` held the record.
    fn is_held_by_majority(&self, listed: &[HostName]) -> bool {
        let holders: Vec<&HostConfirmation> = listed
            .iter()
            .filter_map(|host| self.confirmations.get(host))
            .collect();
        let needed = majority_of(listed.len());
        holders.iter().any(|candidate| {
            let moment = candidate.heard;
            let held = holders
                .iter()
                .filter(|holder| holder.heard <= moment && holder.asked >= moment);
            held.count() >= needed
        })
    }

    fn forget_earlier_life(&mut self, statement: &PeerStatement) {
        let known = self.confirmations.get(&statement.host);
        if known.is_some_and(|known| known.incarnation != statement.incarnation) {
            self.confirmations.remove(&statement.host);
        }
    }
}
