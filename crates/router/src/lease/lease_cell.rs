//! Freshness lease of this router, shared by all requests.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use ferry_decisions::lease::{
    FreshnessLease, LeaseDenial, LeaseOwner, LogObservation, PeerStatement,
};
use ferry_decisions::names::HostName;
use ferry_decisions::time::MonotonicTime;
use parking_lot::Mutex;

use crate::membership::ProcessClock;

/// Age of the newest read, counted from its request, after which the log counts as unavailable;
/// above the time that a read waits for a record, and well below the freshness limit.
const MAX_LOG_READ_AGE: Duration = Duration::from_millis(1_500);

/// Why no work may be admitted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LeaseProblem {
    /// The configuration is not known to be fresh.
    #[error("{0}; send the request to another router")]
    Denied(#[from] LeaseDenial),
    /// A newer process runs under this host's name.
    #[error(
        "another process runs under this host's name; stop this one, and send the request to another router"
    )]
    Replaced,
}

/// Collects evidence that this router's configuration is fresh, and checks the lease.
#[derive(Debug)]
pub struct LeaseCell {
    clock: ProcessClock,
    state: Mutex<LeaseState>,
    /// Offset of the configuration record that this router needs next; never ahead of the
    /// configuration that requests see.
    own_offset: AtomicU64,
    /// Whether the last read of the log succeeded.
    log_answered: AtomicBool,
    replaced: AtomicBool,
}

#[derive(Debug)]
struct LeaseState {
    lease: FreshnessLease,
    newest_read: Option<LogRead>,
}

/// A successful read of the log by this router.
#[derive(Debug, Clone, Copy)]
struct LogRead {
    requested_at: MonotonicTime,
    tail: u64,
}

impl LeaseCell {
    /// Creates a lease without evidence, which is not held yet.
    pub fn new(owner: LeaseOwner, clock: ProcessClock) -> Self {
        let state = LeaseState {
            lease: FreshnessLease::new(owner),
            newest_read: None,
        };
        Self {
            clock,
            state: Mutex::new(state),
            own_offset: AtomicU64::new(0),
            log_answered: AtomicBool::new(false),
            replaced: AtomicBool::new(false),
        }
    }

    /// Records that requests now see all records below `next_offset`.
    pub fn advance(&self, next_offset: u64) {
        self.own_offset.fetch_max(next_offset, Ordering::AcqRel);
        self.update();
    }

    /// Records a read of the log that was requested at `requested_at` and returned `tail` as the next
    /// offset.
    pub fn record_log_read(&self, requested_at: MonotonicTime, tail: u64) {
        self.log_answered.store(true, Ordering::Release);
        let mut state = self.state.lock();
        state.lease.record_log_read(requested_at, tail);
        if state
            .newest_read
            .is_none_or(|read| read.requested_at < requested_at)
        {
            state.newest_read = Some(LogRead { requested_at, tail });
        }
        drop(state);
        self.update();
    }

    /// Records that a read of the log failed.
    pub fn record_log_failure(&self) {
        self.log_answered.store(false, Ordering::Release);
    }

    /// Whether this router can read the log: the last read succeeded and is recent.
    pub fn is_log_working(&self) -> bool {
        self.log_observation().is_some()
    }

    /// This router's newest read of the log with its current age; `None` while the log is unavailable.
    pub fn log_observation(&self) -> Option<LogObservation> {
        let read = self.state.lock().newest_read?;
        let age = self.clock.now().since(read.requested_at);
        let is_working = self.log_answered.load(Ordering::Acquire) && age < MAX_LOG_READ_AGE;
        is_working.then_some(LogObservation {
            age,
            tail: read.tail,
        })
    }

    /// Records statements of other routers.
    pub fn record_statements(&self, statements: &[PeerStatement]) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        for statement in statements {
            state.lease.record_peer_statement(now, statement.clone());
        }
        drop(state);
        self.update();
    }

    /// Sets the router hosts on the newest host list.
    pub fn set_listed(&self, listed: &[HostName]) {
        self.state.lock().lease.relist(listed);
    }

    /// Whether this process holds all records that earlier processes of this host confirmed.
    pub fn is_recovered(&self) -> bool {
        self.state.lock().lease.is_recovered()
    }

    /// Denies the lease permanently, since a newer process runs under this host's name.
    pub fn mark_replaced(&self) {
        if !self.replaced.swap(true, Ordering::AcqRel) {
            spdlog::error!(
                "another process runs under this host's name; this process admits no more work; stop it"
            );
        }
    }

    /// Re-evaluates from the current evidence whether this process is recovered, and by which host
    /// list majorities are counted.
    pub fn update(&self) {
        let own = self.own_offset.load(Ordering::Acquire);
        let now = self.clock.now();
        self.state.lock().lease.update(now, own);
    }

    /// Whether work may be admitted now.
    ///
    /// # Errors
    ///
    /// The reason why it may not.
    pub fn check(&self) -> Result<(), LeaseProblem> {
        if self.replaced.load(Ordering::Acquire) {
            return Err(LeaseProblem::Replaced);
        }
        let own = self.own_offset.load(Ordering::Acquire);
        let state = self.state.lock();
        state.lease.check(self.clock.now(), own)?;
        Ok(())
    }
}
