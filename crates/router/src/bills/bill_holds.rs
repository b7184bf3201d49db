//! Copies of other routers' bills, held while the log does not answer.

use std::collections::HashMap;
use std::time::Duration;

use ferry_decisions::bill::BillEntry;
use ferry_decisions::claim::RequestKey;
use ferry_decisions::names::HostName;
use parking_lot::Mutex;
use tokio::time::Instant;

use super::bill_message::BillAnswer;

/// Copies that one router holds at most.
const HOLD_LIMIT: usize = 100_000;
/// Age after which a copy is flushed even if its router is there.
const FLUSH_AGE: Duration = Duration::from_secs(60);

/// Copies by request.
#[derive(Debug, Default)]
pub(super) struct BillHolds {
    held: Mutex<HashMap<RequestKey, HeldBill>>,
}

#[derive(Debug)]
struct HeldBill {
    bill: BillEntry,
    /// Router that answered the request.
    origin: HostName,
    since: Instant,
    /// Whether a flush is under way.
    flushing: bool,
}

impl BillHolds {
    /// Takes a copy of `bill` for `origin`, unless too many are held.
    pub(super) fn insert(&self, bill: BillEntry, origin: &HostName) -> BillAnswer {
        let key = RequestKey::new(&bill.workspace, &bill.request);
        let mut held = self.held.lock();
        if held.contains_key(&key) {
            return BillAnswer::AlreadyHeld;
        }
        if held.len() >= HOLD_LIMIT {
            return BillAnswer::Refused;
        }
        let copy = HeldBill {
            bill,
            origin: origin.clone(),
            since: Instant::now(),
            flushing: false,
        };
        held.insert(key, copy);
        BillAnswer::Held
    }

    /// Drops the copy of a bill that is on the log.
    pub(super) fn remove(&self, key: &RequestKey) {
        self.held.lock().remove(key);
    }

    /// Whether a copy is held.
    pub(super) fn contains(&self, key: &RequestKey) -> bool {
        self.held.lock().contains_key(key)
    }

    /// All copies.
    pub(super) fn copies(&self) -> Vec<(RequestKey, BillEntry)> {
        let held = self.held.lock();
        held.iter()
            .map(|(key, copy)| (key.clone(), copy.bill.clone()))
            .collect()
    }

    /// Number of copies.
    pub(super) fn len(&self) -> usize {
        self.held.lock().len()
    }

    /// Marks and returns the copies to be flushed: their router is not among `present`, or they
    /// are old. With `all`, every copy that is not being flushed.
    pub(super) fn take_due(&self, present: &[HostName], all: bool) -> Vec<BillEntry> {
        let mut held = self.held.lock();
        held.values_mut()
            .filter(|copy| !copy.flushing)
            .filter(|copy| {
                all || !present.contains(&copy.origin) || copy.since.elapsed() >= FLUSH_AGE
            })
            .map(|copy| {
                copy.flushing = true;
                copy.bill.clone()
            })
            .collect()
    }
}
