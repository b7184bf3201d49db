//! Continuous batching, with a bounded priority queue of waiting requests.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use super::chat_run::{ChatRun, RunPhase};
use super::prefix_cache::PrefixCache;

/// Error returned when the queue has reached its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the engine's queue is full; send the request again later or to another engine")]
pub(super) struct QueueFull;

/// Running and waiting requests of an engine, with its prefix cache.
#[derive(Debug)]
pub(super) struct BatchQueue {
    running: Vec<BatchSlot>,
    /// Sorted by descending priority, then by order of arrival.
    waiting: BTreeMap<(Reverse<i64>, u64), Arc<ChatRun>>,
    arrivals: u64,
    cache: PrefixCache,
    batch_limit: usize,
    queue_limit: usize,
    prefill_tokens: u64,
}

/// A running request.
#[derive(Debug)]
struct BatchSlot {
    run: Arc<ChatRun>,
    /// Prompt tokens still to be processed before the first token is generated.
    prefill_left: u64,
}

/// Result of one engine step.
#[derive(Debug, Default)]
pub(super) struct StepOutcome {
    /// Requests added to the batch.
    pub(super) started: Vec<Arc<ChatRun>>,
    /// Requests whose last token was generated.
    pub(super) finished: Vec<Arc<ChatRun>>,
    /// Request that crashes the engine, if the batch contains one.
    pub(super) poison: Option<Arc<ChatRun>>,
    /// Prompt tokens found in the prefix cache.
    pub(super) cached_tokens: u64,
}

impl BatchQueue {
    pub(super) fn new(
        batch_limit: usize,
        queue_limit: usize,
        prefill_tokens: u64,
        cache_blocks: usize,
    ) -> Self {
        Self {
            running: Vec::new(),
            waiting: BTreeMap::new(),
            arrivals: 0,
            cache: PrefixCache::new(cache_blocks),
            batch_limit: batch_limit.max(1),
            queue_limit,
            prefill_tokens: prefill_tokens.max(1),
        }
    }

    /// Adds a request to the queue, which may hold `queue_limit` requests beyond the free batch
    /// slots.
    pub(super) fn submit(&mut self, run: Arc<ChatRun>) -> Result<(), QueueFull> {
        let free_slots = self.batch_limit.saturating_sub(self.running.len());
        if self.waiting.len() >= self.queue_limit + free_slots {
            return Err(QueueFull);
        }
        self.arrivals += 1;
        self.waiting
            .insert((Reverse(run.priority), self.arrivals), run);
        Ok(())
    }

    /// Removes a request from the batch or the queue.
    pub(super) fn remove(&mut self, run: &Arc<ChatRun>) {
        self.running.retain(|slot| !Arc::ptr_eq(&slot.run, run));
        self.waiting.retain(|_, waiting| !Arc::ptr_eq(waiting, run));
    }

    /// Clears the batch, the queue and the cache, and returns the removed requests.
    pub(super) fn clear(&mut self) -> Vec<Arc<ChatRun>> {
        self.cache.clear();
        let waiting = std::mem::take(&mut self.waiting);
        let running = std::mem::take(&mut self.running);
        let removed = running.into_iter().map(|slot| slot.run);
        removed.chain(waiting.into_values()).collect()
    }

    /// Whether neither the batch nor the queue holds a request.
    pub(super) fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Number of requests in the batch.
    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of requests in the queue.
    pub(super) fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Fills the batch from the queue, then advances each of its requests by one step.
    ///
    /// Stops at a request that crashes the engine.
    pub(super) fn step(&mut self) -> StepOutcome {
        let mut outcome = StepOutcome::default();
        self.fill_batch(&mut outcome);
        for slot in &mut self.running {
            if slot.run.poison.is_some() {
                outcome.poison = Some(slot.run.clone());
                return outcome;
            }
            if slot.prefill_left > 0 {
                slot.prefill_left = slot.prefill_left.saturating_sub(self.prefill_tokens);
                if slot.prefill_left == 0 {
                    self.cache.insert(&slot.run.prompt);
                }
            } else if slot.run.generate_token() {
                outcome.finished.push(slot.run.clone());
            }
        }
        for run in &outcome.finished {
            run.set_phase(RunPhase::Finished);
            self.remove(run);
        }
        outcome
    }

    fn fill_batch(&mut self, outcome: &mut StepOutcome) {
        while self.running.len() < self.batch_limit {
            let Some((_, run)) = self.waiting.pop_first() else {
                return;
            };
            let cached = self.cache.lookup(&run.prompt);
            outcome.cached_tokens += cached;
            outcome.started.push(run.clone());
            run.set_phase(RunPhase::Running);
            self.running.push(BatchSlot {
                prefill_left: run.prompt.tokens.saturating_sub(cached),
                run,
            });
        }
    }
}
