//! Cache of prompt prefixes in limited memory; the least recently used block goes first.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

use ferry_decisions::names::VersionName;
use ferry_platform::engine::ChatMessage;

/// Bytes of prompt text that count as one token.
const TOKEN_BYTES: usize = 4;
/// Tokens in one cached block.
pub(super) const BLOCK_TOKENS: usize = 16;

/// A prompt as the cache sees it.
#[derive(Debug)]
pub(super) struct PromptShape {
    /// Tokens of the prompt; at least one.
    pub(super) tokens: u64,
    /// Hash of each prefix that ends at a block's border, the shortest first.
    prefixes: Vec<u64>,
}

impl PromptShape {
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

/// Blocks in the cache with the time of their last use, counted in uses.
#[derive(Debug)]
pub(super) struct PrefixCache {
    limit: usize,
    clock: u64,
    uses: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
}

impl PrefixCache {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            clock: 0,
            uses: HashMap::new(),
            order: BTreeMap::new(),
        }
    }

    /// Tokens of the longest cached prefix of `prompt`.
    pub(super) fn lookup(&mut self, prompt: &PromptShape) -> u64 {
        let cached = prompt
            .prefixes
            .iter()
            .take_while(|prefix| self.uses.contains_key(prefix))
            .count();
        for prefix in &prompt.prefixes[..cached] {
            self.touch(*prefix);
        }
        (cached * BLOCK_TOKENS) as u64
    }

    /// Adds all blocks of `prompt`.
    pub(super) fn insert(&mut self, prompt: &PromptShape) {
        for prefix in &prompt.prefixes {
            self.touch(*prefix);
        }
        while self.uses.len() > self.limit {
            let Some((_, oldest)) = self.order.pop_first() else {
                return;
            };
            self.uses.remove(&oldest);
        }
    }

    /// Forgets everything.
    pub(super) fn clear(&mut self) {
        self.uses.clear();
        self.order.clear();
    }

    fn touch(&mut self, prefix: u64) {
        self.clock += 1;
        if let Some(last) = self.uses.insert(prefix, self.clock) {
            self.order.remove(&last);
        }
        self.order.insert(self.clock, prefix);
    }
}
