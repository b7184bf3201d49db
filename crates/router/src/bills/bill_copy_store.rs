//! Copies of other routers' bills, held until the bills are on the log.

use std::collections::HashMap;
use std::time::Duration;

use ferry_decisions::bill::BillEntry;
use ferry_decisions::claim::RequestKey;
use ferry_decisions::names::HostName;
use parking_lot::Mutex;
use tokio::time::Instant;

use super::bill_message::BillAnswer;

/// Maximum number of copies held by one router.
const MAX_COPIES: usize = 100_000;
/// Age after which a copy is flushed even if its origin is still connected.
const FLUSH_AGE: Duration = Duration::from_secs(60);

/// Bill copies by request.
#[derive(Debug, Default)]
pub(super) struct BillCopyStore {
    held: Mutex<HashMap<RequestKey, BillCopy>>,
}

#[derive(Debug)]
struct BillCopy {
    bill: BillEntry,
    /// Router that answered the request.
    origin: HostName,
    received_at: Instant,
    /// Whether an append of this copy is in progress.
    flushing: bool,
}

impl BillCopyStore {
    /// Stores a copy of `bill` for `origin`; refuses it when [`MAX_COPIES`] are held.
    pub(super) fn insert(&self, bill: BillEntry, origin: &HostName) -> BillAnswer {
        let key = RequestKey::new(&bill.workspace, &bill.request);
        let mut held = self.held.lock();
        if held.contains_key(&key) {
            return BillAnswer::AlreadyHeld;
        }
        if held.len() >= MAX_COPIES {
            return BillAnswer::Refused;
        }
        let copy = BillCopy {
            bill,
            origin: origin.clone(),
            received_at: Instant::now(),
            flushing: false,
        };
        held.insert(key, copy);
        BillAnswer::Held
    }

    /// Removes the copy of a bill that is on the log or held by other routers.
    pub(super) fn remove(&self, key: &RequestKey) {
        self.held.lock().remove(key);
    }

    /// Whether a copy of the bill of `key` is held.
    pub(super) fn contains(&self, key: &RequestKey) -> bool {
        self.held.lock().contains_key(key)
    }

    /// All copies with their keys.
    pub(super) fn copies(&self) -> Vec<(RequestKey, BillEntry)> {
        let held = self.held.lock();
        held.iter()
            .map(|(key, copy)| (key.clone(), copy.bill.clone()))
            .collect()
    }

    /// Number of copies held.
    pub(super) fn len(&self) -> usize {
        self.held.lock().len()
    }

    /// Marks as being flushed, and returns, the copies whose origin is not among `connected` or that
    /// are older than [`FLUSH_AGE`]. With `all`, every copy that is not already being flushed.
    pub(super) fn take_due(&self, connected: &[HostName], all: bool) -> Vec<BillEntry> {
        let mut held = self.held.lock();
        held.values_mut()
            .filter(|copy| !copy.flushing)
            .filter(|copy| {
                all || !connected.contains(&copy.origin) || copy.received_at.elapsed() >= FLUSH_AGE
            })
            .map(|copy| {
                copy.flushing = true;
                copy.bill.clone()
            })
            .collect()
    }
}
