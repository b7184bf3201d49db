//! Messages by which routers share crashes and the states of suspects.

use super::RequestFingerprint;
use crate::names::HostName;
use crate::time::UnixMillis;

value_type! {
    /// Crash of an upstream with the request in flight.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct CrashRecord {
        /// Time at which a router detected the crash.
        pub at: UnixMillis,
        /// Upstream that crashed.
        pub upstream: HostName,
        /// Request that was in flight on the upstream.
        pub fingerprint: RequestFingerprint,
        /// Whether the request ran on the upstream as the only suspect.
        pub isolated: bool,
    }

    /// Answer to a suspect from an upstream that did not crash.
    pub struct SurvivalRecord {
        /// Request that was answered.
        pub fingerprint: RequestFingerprint,
        /// End of the run.
        pub at: UnixMillis,
    }

    /// State of a suspect at one router; the record with the higher sequence number is kept.
    pub struct SuspectRun {
        /// The suspect.
        pub fingerprint: RequestFingerprint,
        /// Host of the router that has the request; only this router increases `sequence`.
        pub router: HostName,
        /// Sequence number: wall-clock milliseconds, at least one more than the previous number.
        pub sequence: u64,
        /// State from this change on.
        pub state: SuspectState,
        /// Time of the change.
        pub at: UnixMillis,
    }

    /// Changes of a pool. Merging is idempotent and independent of the order.
    #[derive(Default)]
    pub struct CrashDelta {
        /// Crashes of upstreams, one record for each request in flight.
        pub crashes: Vec<CrashRecord>,
        /// Suspects that were answered.
        pub survivals: Vec<SurvivalRecord>,
        /// States of suspects.
        pub runs: Vec<SuspectRun>,
    }
}

/// State of a suspect at a router.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SuspectState {
    /// Held until an upstream is free for it.
    Waiting,
    /// Running on this upstream.
    Running(HostName),
    /// No longer held.
    Ended,
}

impl CrashDelta {
    /// Adds the records of `other`.
    pub(super) fn append(&mut self, other: Self) {
        self.crashes.extend(other.crashes);
        self.survivals.extend(other.survivals);
        self.runs.extend(other.runs);
    }
}
