//! Propagation of a configuration record: published, accepted, in force.

use std::collections::BTreeMap;
use std::time::Duration;

use super::PeerStatement;
use super::host_majority::majority_of;
use crate::names::{HostName, Incarnation};
use crate::time::MonotonicTime;

/// Margin added to the freshness limit, since the clocks of two hosts may run at different rates.
const CLOCK_MARGIN: Duration = Duration::from_millis(100);

closed_set! {
    /// Propagation stage of a record.
    pub enum PropagationStage {
        /// The log holds the record.
        Published,
        /// A majority of the listed router hosts held the record at one moment, so it cannot be lost.
        Accepted,
        /// No router admits work without it.
        InForce,
    }
}

/// Propagation of a record, with the hosts that have not confirmed it.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PropagationStatus {
    /// Stage that the record has reached.
    pub stage: PropagationStage,
    /// Hosts that have not confirmed the record; empty once it is in force.
    pub waiting: Vec<HostName>,
}

/// Tracks the propagation of one record by the statements that this router receives.
#[derive(Debug, Clone)]
pub struct PropagationTracker {
    /// Greatest age of evidence that supports a freshness lease.
    freshness: Duration,
    /// Least offset that a host needs next once it holds the record.
    needed: u64,
    confirmations: BTreeMap<HostName, HostConfirmation>,
    /// Time at which a majority was first found to hold the record.
    accepted_at: Option<MonotonicTime>,
    /// Whether the record was in force before; it never leaves this stage.
    in_force: bool,
}

/// Confirmation by one process, which held the record at least from `received_at` to
/// `requested_at`.
#[derive(Debug, Clone)]
struct HostConfirmation {
    incarnation: Incarnation,
    /// Time at which the first confirmation arrived.
    received_at: MonotonicTime,
    /// Time at which the newest confirmation was requested.
    requested_at: MonotonicTime,
}

impl PropagationTracker {
    /// Creates a tracker of the record at `offset`.
    pub fn new(offset: u64, freshness: Duration) -> Self {
        Self {
            freshness,
            needed: offset + 1,
            confirmations: BTreeMap::new(),
            accepted_at: None,
            in_force: false,
        }
    }

    /// Records a statement that arrived at `now`. This router's own statement is passed as of `now`.
    pub fn observe(&mut self, now: MonotonicTime, statement: &PeerStatement) {
        if statement.next_offset < self.needed {
            self.remove_earlier_incarnation(statement);
            return;
        }
        let confirmation = HostConfirmation {
            incarnation: statement.incarnation,
            received_at: now,
            requested_at: statement.requested_at,
        };
        match self.confirmations.get_mut(&statement.host) {
            Some(known) if known.incarnation == statement.incarnation => {
                known.requested_at = known.requested_at.max(statement.requested_at);
            }
            _ => {
                self.confirmations
                    .insert(statement.host.clone(), confirmation);
            }
        }
    }

    /// Returns the propagation of the record; `known` are all hosts of the membership table.
    pub fn status(
        &mut self,
        now: MonotonicTime,
        listed: &[HostName],
        known: &[HostName],
    ) -> PropagationStatus {
        if self.accepted_at.is_none() && self.is_held_by_majority(listed) {
            self.accepted_at = Some(now);
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
        if stage == PropagationStage::InForce {
            waiting.clear();
        }
        PropagationStatus { stage, waiting }
    }

    fn stage(&mut self, now: MonotonicTime, all_confirmed: bool) -> PropagationStage {
        let Some(accepted_at) = self.accepted_at else {
            return PropagationStage::Published;
        };
        let leases_ended = now >= accepted_at.after(self.freshness + CLOCK_MARGIN);
        self.in_force = self.in_force || all_confirmed || leases_ended;
        if self.in_force {
            PropagationStage::InForce
        } else {
            PropagationStage::Accepted
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
            let moment = candidate.received_at;
            let held = holders
                .iter()
                .filter(|holder| holder.received_at <= moment && holder.requested_at >= moment);
            held.count() >= needed
        })
    }

    fn remove_earlier_incarnation(&mut self, statement: &PeerStatement) {
        let known = self.confirmations.get(&statement.host);
        if known.is_some_and(|known| known.incarnation != statement.incarnation) {
            self.confirmations.remove(&statement.host);
        }
    }
}
