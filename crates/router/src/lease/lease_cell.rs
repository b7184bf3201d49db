//! The lease of this router, shared by all requests.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use ferry_decisions::lease::{
    FreshnessLease, LeaseDenial, LeaseOwner, LogObservation, PeerStatement,
};
use ferry_decisions::names::HostName;
use ferry_decisions::time::MonotonicTime;
use parking_lot::Mutex;

use crate::membership::ProcessClock;

/// Time since the start of the newest read after which the log counts as silent; above the time
/// that a read waits for a record, and well below the freshness limit.
const LOG_SILENCE_LIMIT: Duration = Duration::from_millis(1_500);

/// Why no work may be admitted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LeaseProblem {
    /// The configuration is not known to be fresh.
    #[error("{0}; send the request to another router")]
    Denied(#[from] LeaseDenial),
    /// A later process runs under this host's name.
    #[error(
        "another process runs under this host's name; stop this one, and send the request to another router"
    )]
    Replaced,
}

/// Evidence that this router's configuration is fresh.
#[derive(Debug)]
pub struct LeaseCell {
    clock: ProcessClock,
    state: Mutex<LeaseState>,
    /// Offset of the configuration record that this router needs next; never more than what
    /// requests see.
    own: AtomicU64,
    /// Whether the last read of the log succeeded.
    log_answered: AtomicBool,
    replaced: AtomicBool,
}

#[derive(Debug)]
struct LeaseState {
    lease: FreshnessLease,
    newest_read: Option<LogRead>,
}

/// A read of the log by this router.
#[derive(Debug, Clone, Copy)]
struct LogRead {
    began: MonotonicTime,
    tail: u64,
}

impl LeaseCell {
    /// A lease that is not held.
    pub fn new(owner: LeaseOwner, clock: ProcessClock) -> Self {
        let state = LeaseState {
            lease: FreshnessLease::new(owner),
            newest_read: None,
        };
        Self {
            clock,
            state: Mutex::new(state),
            own: AtomicU64::new(0),
            log_answered: AtomicBool::new(false),
            replaced: AtomicBool::new(false),
        }
    }

    /// Notes that requests see all records below `next_offset`.
    pub fn advance(&self, next_offset: u64) {
        self.own.fetch_max(next_offset, Ordering::AcqRel);
        self.settle();
    }

    /// Takes a read of the log that began at `began` and found `tail` as the next offset.
    pub fn log_read(&self, began: MonotonicTime, tail: u64) {
        self.log_answered.store(true, Ordering::Release);
        let mut state = self.state.lock();
        state.lease.record_log_read(began, tail);
        if state.newest_read.is_none_or(|read| read.began < began) {
            state.newest_read = Some(LogRead { began, tail });
        }
        drop(state);
        self.settle();
    }

    /// Notes that a read of the log failed.
    pub fn log_failed(&self) {
        self.log_answered.store(false, Ordering::Release);
    }

    /// Whether this router reads the log: the last read succeeded, and not long ago.
    pub fn log_works(&self) -> bool {
        self.log_sighting().is_some()
    }

    /// This router's newest read of the log, aged to the present, while it reads the log.
    pub fn log_sighting(&self) -> Option<LogObservation> {
        let read = self.state.lock().newest_read?;
        let age = self.clock.now().since(read.began);
        let works = self.log_answered.load(Ordering::Acquire) && age < LOG_SILENCE_LIMIT;
        works.then_some(LogObservation {
            age,
            tail: read.tail,
        })
    }

    /// Takes statements of other routers.
    pub fn peers_heard(&self, statements: &[PeerStatement]) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        for statement in statements {
            state.lease.record_peer_statement(now, statement.clone());
        }
        drop(state);
        self.settle();
    }

    /// Takes the router hosts last listed.
    pub fn relist(&self, listed: &[HostName]) {
        self.state.lock().lease.relist(listed);
    }

    /// Whether this process holds all that the host's earlier processes confirmed.
    pub fn is_recovered(&self) -> bool {
        self.state.lock().lease.is_recovered()
    }

    /// Denies the lease for good, since a later process has the host's name.
    pub fn give_up(&self) {
        if !self.replaced.swap(true, Ordering::AcqRel) {
            spdlog::error!(
                "another process runs under this host's name; this one admits no more work, stop it"
            );
        }
    }

    /// Notes what the present evidence settles.
    pub fn settle(&self) {
        let own = self.own.load(Ordering::Acquire);
        let now = self.clock.now();
        self.state.lock().lease.update(now, own);
    }

    /// Whether work may be admitted now.
    ///
    /// # Errors
    ///
    /// Names the reason for which it may not.
    pub fn check(&self) -> Result<(), LeaseProblem> {
        if self.replaced.load(Ordering::Acquire) {
            return Err(LeaseProblem::Replaced);
        }
        let own = self.own.load(Ordering::Acquire);
        let state = self.state.lock();
        state.lease.check(self.clock.now(), own)?;
        Ok(())
    }
}
