//! Crashes of one request as counted by one router, the unit that routers share.

use super::RequestFingerprint;
use crate::registry::UpstreamIncarnation;
use crate::time::UnixMillis;

value_type! {
    /// Identifies a row.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct CrashRowKey {
        /// The request.
        pub request: RequestFingerprint,
        /// Router that counts, with its incarnation.
        pub router: String,
    }

    /// Crashes and answers of one request at one incarnation of a router.
    ///
    /// Only that router changes the row. Crashes are only added and answers only grow, so that the newer of two
    /// versions holds the older one.
    pub struct CrashRow {
        /// The request, and the router that counts.
        pub key: CrashRowKey,
        /// Distinct incarnations of upstreams that crashed while they ran the request.
        pub crashed: Vec<UpstreamIncarnation>,
        /// Answers shortly before the first crash that the router knew of, and since.
        pub answers: u32,
        /// Time of the last crash that the router knew of.
        pub last_crash_at: UnixMillis,
    }
}

impl CrashRow {
    /// Replaces this version by `other` if that is newer; returns whether it was.
    pub(super) fn merge(&mut self, other: &Self) -> bool {
        let is_newer = other.crashed.len() > self.crashed.len() || other.answers > self.answers;
        if is_newer {
            self.clone_from(other);
        }
        is_newer
    }
}

impl std::fmt::Display for CrashRowKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.request, self.router)
    }
}
