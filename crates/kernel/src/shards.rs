//! Hash map split into shards, each with its own lock.

use std::collections::HashMap;
use std::hash::{BuildHasher, Hash, RandomState};

use parking_lot::Mutex;

/// Number of shards; a power of two.
const SHARDS: usize = 32;

/// Map from `K` to `V`; a shard is locked only while a closure runs on it.
#[derive(Debug)]
pub struct ShardMap<K, V> {
    shards: Vec<Mutex<HashMap<K, V>>>,
    hasher: RandomState,
}

impl<K, V> Default for ShardMap<K, V> {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Mutex::new(HashMap::new())).collect(),
            hasher: RandomState::new(),
        }
    }
}

impl<K: Hash + Eq, V> ShardMap<K, V> {
    /// Runs `action` on the shard of `key`.
    pub fn with<R>(&self, key: &K, action: impl FnOnce(&mut HashMap<K, V>) -> R) -> R {
        let index = self.hasher.hash_one(key) as usize % SHARDS;
        action(&mut self.shards[index].lock())
    }

    /// Runs `action` on each shard in turn; only one shard is locked at a time.
    pub fn for_each_shard(&self, mut action: impl FnMut(&mut HashMap<K, V>)) {
        for shard in &self.shards {
            action(&mut shard.lock());
        }
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().len()).sum()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
