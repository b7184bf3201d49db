//! Versions that the conversations of the last seconds got.

use std::time::Duration;

use ferry_decisions::rollout::VersionSide;
use ferry_decisions::time::MonotonicTime;
use ferry_kernel::shards::ShardMap;

/// Conversations by hash, forgotten a while after their last request.
#[derive(Debug, Default)]
pub struct SessionMemory {
    sides: ShardMap<u64, (VersionSide, MonotonicTime)>,
}

impl SessionMemory {
    /// Notes the version of a conversation's newest request.
    pub fn note(&self, session: u64, side: VersionSide, now: MonotonicTime) {
        self.sides
            .with(&session, |shard| shard.insert(session, (side, now)));
    }

    /// Version of the conversation's last request, if it was at most `gap` ago.
    pub fn recall(&self, session: u64, gap: Duration, now: MonotonicTime) -> Option<VersionSide> {
        self.sides.with(&session, |shard| {
            let (side, at) = shard.get(&session)?;
            (now.since(*at) <= gap).then_some(*side)
        })
    }

    /// Forgets conversations without a request for longer than `gap`.
    pub fn expire(&self, gap: Duration, now: MonotonicTime) {
        self.sides
            .for_each_shard(|shard| shard.retain(|_, (_, at)| now.since(*at) <= gap));
    }
}
