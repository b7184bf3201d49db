//! Cache of prompt prefixes with a limited number of blocks and least-recently-used eviction.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

use ferry_decisions::names::VersionName;
use ferry_platform::engine::ChatMessage;

/// Number of bytes of prompt text counted as one token.
const TOKEN_BYTES: usize = 4;
/// Number of tokens in one cached block.
pub(super) const BLOCK_TOKENS: usize = 16;

/// Length of a prompt, and the hashes by which the cache looks up its prefixes.
#[derive(Debug)]
pub(super) struct PromptPrefixes {
    /// Number of tokens in the prompt; at least one.
    pub(super) tokens: u64,
    /// Hash of each prefix that ends at a block boundary, shortest first.
    prefixes: Vec<u64>,
}

impl PromptPrefixes {
    pub(super) fn new(version: &VersionName, messages: &[ChatMessage]) -> Self {
        let text: String = messages
            .iter()
            .map(|message| format!("{}:{}\n", message.role, message.content))
            .collect();
        let mut hasher = DefaultHasher::new();
        version.hash(&mut hasher);
        let prefixes = text
            .as_bytes()
            .chunks_exact(TOKEN_BYTES * BLOCK_TOKENS)
            .map(|block| {
                block.hash(&mut hasher);
                hasher.finish()
            })
            .collect();
        Self {
            tokens: text.len().div_ceil(TOKEN_BYTES).max(1) as u64,
            prefixes,
        }
    }
}

/// Cached blocks, each identified by the hash of the prompt prefix that ends with it.
#[derive(Debug)]
pub(super) struct PrefixCache {
    limit: usize,
    /// Logical clock, incremented with each use of a block.
    clock: u64,
    /// Time of the last use of each block.
    last_uses: HashMap<u64, u64>,
    /// Blocks by the time of their last use, for eviction.
    by_last_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            clock: 0,
            last_uses: HashMap::new(),
            by_last_use: BTreeMap::new(),
        }
    }

    /// Number of tokens in the longest cached prefix of `prompt`, whose blocks count as used.
    pub(super) fn lookup(&mut self, prompt: &PromptPrefixes) -> u64 {
        let cached = prompt
            .prefixes
            .iter()
            .take_while(|prefix| self.last_uses.contains_key(prefix))
            .count();
        for prefix in &prompt.prefixes[..cached] {
            self.touch(*prefix);
        }
        (cached * BLOCK_TOKENS) as u64
    }

    /// Adds all blocks of `prompt`, and evicts the least recently used blocks beyond the limit.
    pub(super) fn insert(&mut self, prompt: &PromptPrefixes) {
        for prefix in &prompt.prefixes {
            self.touch(*prefix);
        }
        while self.last_uses.len() > self.limit {
            let Some((_, oldest)) = self.by_last_use.pop_first() else {
                return;
            };
            self.last_uses.remove(&oldest);
        }
    }

    /// Removes all blocks.
    pub(super) fn clear(&mut self) {
        self.last_uses.clear();
        self.by_last_use.clear();
    }

    fn touch(&mut self, prefix: u64) {
        self.clock += 1;
        if let Some(last) = self.last_uses.insert(prefix, self.clock) {
            self.by_last_use.remove(&last);
        }
        self.by_last_use.insert(self.clock, prefix);
    }
}
