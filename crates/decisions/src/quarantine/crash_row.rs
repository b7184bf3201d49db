//! Crashes of one subject as counted by one router, the unit that routers share.

use super::CrashSubject;
use crate::registry::UpstreamIncarnation;
use crate::time::UnixMillis;

/// Maximum number of requests that a row tells apart.
const REQUEST_LIMIT: usize = 16;

value_type! {
    /// Identifies a row.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct CrashRowKey {
        /// What the crashes are counted for.
        pub subject: CrashSubject,
        /// Router that counts, with its incarnation.
        pub router: String,
    }

    /// Crashes and answers of one subject at one incarnation of a router.
    ///
    /// Only that router changes the row. Crashes and survivals are only added and answers only grow, so that the newer of two
    /// versions holds the older one.
    pub struct CrashRow {
        /// The subject, and the router that counts.
        pub key: CrashRowKey,
        /// Distinct incarnations of upstreams that crashed while they ran it.
        pub crashed: Vec<UpstreamIncarnation>,
        /// Those of them that other routers still reached right after it, so that the break was one of the path to them.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub survived: Vec<UpstreamIncarnation>,
        /// Digests of the first distinct requests that ran with the part at a crash; empty for a request.
        pub requests: Vec<u32>,
        /// Answers shortly before the first crash that the router knew of, and since; for a part only those that
        /// went on for a while or may have been cut off.
        pub answers: u32,
        /// Whether the router saw a whole answer on the part, which is then not what crashes upstreams.
        pub is_sound: bool,
        /// Time of the last crash that the router knew of.
        pub last_crash_at: UnixMillis,
    }
}

impl CrashRow {
    /// A row without crashes.
    pub(super) fn new(key: CrashRowKey, last_crash_at: UnixMillis) -> Self {
        Self {
            key,
            crashed: Vec::new(),
            survived: Vec::new(),
            requests: Vec::new(),
            answers: 0,
            is_sound: false,
            last_crash_at,
        }
    }

    /// Counts a request that ran with the part at a crash.
    pub(super) fn add_request(&mut self, digest: u32) {
        if self.requests.len() < REQUEST_LIMIT && !self.requests.contains(&digest) {
            self.requests.push(digest);
        }
    }

    /// Records that `upstream` survived the break that was counted as its crash; returns whether that is news.
    pub(super) fn add_survival(&mut self, upstream: &UpstreamIncarnation) -> bool {
        let is_news = self.crashed.contains(upstream) && !self.survived.contains(upstream);
        if is_news {
            self.survived.push(upstream.clone());
        }
        is_news
    }

    /// Upstreams that crashed and did not survive.
    pub(super) fn ended(&self) -> impl Iterator<Item = &UpstreamIncarnation> {
        let crashed = self.crashed.iter();
        crashed.filter(|upstream| !self.survived.contains(upstream))
    }

    /// Replaces this version by `other` if that is newer; returns whether it was.
    pub(super) fn merge(&mut self, other: &Self) -> bool {
        let is_newer = other.crashed.len() > self.crashed.len()
            || other.survived.len() > self.survived.len()
            || other.requests.len() > self.requests.len()
            || other.answers > self.answers
            || other.is_sound && !self.is_sound;
        if is_newer {
            self.clone_from(other);
        }
        is_newer
    }
}

impl std::fmt::Display for CrashRowKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.subject, self.router)
    }
}
