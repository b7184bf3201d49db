//! Version that each recent conversation uses.

use std::time::Duration;

use ferry_decisions::hash_point;
use ferry_decisions::names::{ServiceName, VersionName};
use ferry_decisions::time::MonotonicTime;
use ferry_kernel::shards::ShardMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hash of a service and a conversation's identifier, which callers send as the session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SessionKey(u64);

/// Version of each conversation's last request, kept for a limited time after that request.
///
/// Versions are recorded even while no roll-out is in progress, so that a conversation that began before
/// the order keeps its version as well.
#[derive(Debug, Default)]
pub struct SessionVersions {
    versions: ShardMap<SessionKey, (VersionName, MonotonicTime)>,
}

impl SessionKey {
    /// The conversation's fixed, uniform number in `0.0..1.0` for the roll-out whose order has the offset `order`.
    pub fn point(self, order: u64) -> f64 {
        hash_point(xxh3_64_with_seed(&self.0.to_le_bytes(), order))
    }

    /// Key of the conversation `session` with `service`.
    pub fn new(service: &ServiceName, session: &str) -> Self {
        let seed = xxh3_64(service.as_str().as_bytes());
        Self(xxh3_64_with_seed(session.as_bytes(), seed))
    }
}

impl SessionVersions {
    /// Records that a request of the conversation begins or ends at `version`.
    pub fn record(&self, session: SessionKey, version: &VersionName, now: MonotonicTime) {
        self.versions.with(&session, |shard| {
            shard.insert(session, (version.clone(), now));
        });
    }

    /// Version of the conversation's last request, if that request was recorded at most `gap` ago.
    pub fn last_version(
        &self,
        session: SessionKey,
        gap: Duration,
        now: MonotonicTime,
    ) -> Option<VersionName> {
        self.versions.with(&session, |shard| {
            let (version, at) = shard.get(&session)?;
            (now.since(*at) <= gap).then(|| version.clone())
        })
    }

    /// Points, below `share`, of the conversations with a request at most `gap` ago, for the roll-out with the order `order`.
    ///
    /// Conversations with other services are among them, with points that no conversation with this one has.
    pub fn points_below(
        &self,
        share: f64,
        order: u64,
        gap: Duration,
        now: MonotonicTime,
    ) -> Vec<f64> {
        let mut points = Vec::new();
        self.versions.for_each_shard(|shard| {
            let ongoing = shard.iter().filter(|(_, (_, at))| now.since(*at) <= gap);
            let ongoing = ongoing.map(|(key, _)| key.point(order));
            points.extend(ongoing.filter(|point| *point < share));
        });
        points
    }

    /// Removes conversations without a request for longer than `gap`.
    pub fn expire(&self, gap: Duration, now: MonotonicTime) {
        self.versions
            .for_each_shard(|shard| shard.retain(|_, (_, at)| now.since(*at) <= gap));
    }
}
