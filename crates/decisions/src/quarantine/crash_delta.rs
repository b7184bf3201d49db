//! Messages by which routers pool crashes and the runs of suspects.

use super::RequestFingerprint;
use crate::names::HostName;
use crate::time::UnixMillis;

value_type! {
    /// A request was in flight on an upstream that crashed.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct CrashRecord {
        /// When the crash was seen.
        pub at: UnixMillis,
        /// Upstream that crashed.
        pub upstream: HostName,
        /// Request that was in flight there.
        pub fingerprint: RequestFingerprint,
        /// Whether it ran there as the only suspect.
        pub isolated: bool,
    }

    /// A suspect was answered by an upstream that stayed up.
    pub struct SurvivalRecord {
        /// Request that was answered.
        pub fingerprint: RequestFingerprint,
        /// When its run ended.
        pub at: UnixMillis,
    }

    /// Where a router has got to with a suspect; the higher sequence number replaces the other.
    pub struct SuspectRun {
        /// Request.
        pub fingerprint: RequestFingerprint,
        /// Router host that holds the request; only it raises `sequence`.
        pub router: HostName,
        /// Number of the change: wall-clock milliseconds, or one more than the last.
        pub sequence: u64,
        /// What the router does with it.
        pub state: RunState,
        /// Time of the change.
        pub at: UnixMillis,
    }

    /// Changes of a pool; merging one twice or in another order gives the same pool.
    #[derive(Default)]
    pub struct CrashDelta {
        /// Crashes.
        pub crashes: Vec<CrashRecord>,
        /// Suspects that were answered.
        pub survivals: Vec<SurvivalRecord>,
        /// Runs of suspects.
        pub runs: Vec<SuspectRun>,
    }
}

/// What a router does with a suspect.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// Holds it until an upstream is free for it.
    Waiting,
    /// Runs it on this upstream.
    Running(HostName),
    /// Holds it no more.
    Ended,
}
