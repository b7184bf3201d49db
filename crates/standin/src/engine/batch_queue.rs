//! Continuous batch with a bounded queue in order of priority.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use super::chat_run::{ChatRun, RunPhase};
use super::prefix_cache::PrefixCache;

/// The queue has no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the engine's queue is full; send the request again later or to another engine")]
pub(super) struct QueueFull;

/// Running and waiting requests of an engine.
#[derive(Debug)]
pub(super) struct BatchQueue {
    running: Vec<BatchPlace>,
    /// Higher priorities first, then in order of arrival.
    waiting: BTreeMap<(Reverse<i64>, u64), Arc<ChatRun>>,
    arrivals: u64,
    cache: PrefixCache,
    batch_limit: usize,
    queue_limit: usize,
    prefill_tokens: u64,
}

/// A running request.
#[derive(Debug)]
struct BatchPlace {
    run: Arc<ChatRun>,
    /// Prompt tokens still to be taken in.
    prefill_left: u64,
}

/// What one step brought about.
#[derive(Debug, Default)]
pub(super) struct StepOutcome {
    /// Requests that entered the batch.
    pub(super) started: Vec<Arc<ChatRun>>,
    /// Requests that made their last token.
    pub(super) finished: Vec<Arc<ChatRun>>,
    /// A request that crashed the engine.
    pub(super) poison: Option<Arc<ChatRun>>,
    /// Prompt tokens found in the cache.
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

    /// Adds a request to the queue.
    pub(super) fn submit(&mut self, run: Arc<ChatRun>) -> Result<(), QueueFull> {
        let free_places = self.batch_limit.saturating_sub(self.running.len());
        if self.waiting.len() >= self.queue_limit + free_places {
            return Err(QueueFull);
        }
        self.arrivals += 1;
        self.waiting
            .insert((Reverse(run.priority), self.arrivals), run);
        Ok(())
    }

    /// Takes a request out, wherever it is.
    pub(super) fn remove(&mut self, run: &Arc<ChatRun>) {
        self.running.retain(|place| !Arc::ptr_eq(&place.run, run));
        self.waiting.retain(|_, waiting| !Arc::ptr_eq(waiting, run));
    }

    /// Empties everything, the cache too, and returns the requests.
    pub(super) fn clear(&mut self) -> Vec<Arc<ChatRun>> {
        self.cache.clear();
        let waiting = std::mem::take(&mut self.waiting);
        let running = std::mem::take(&mut self.running);
        let places = running.into_iter().map(|place| place.run);
        places.chain(waiting.into_values()).collect()
    }

    /// Whether there is nothing to do.
    pub(super) fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Requests in the batch.
    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests in the queue.
    pub(super) fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Fills the batch, then moves each of its requests on by one step.
    pub(super) fn step(&mut self) -> StepOutcome {
        let mut outcome = StepOutcome::default();
        self.fill(&mut outcome);
        for place in &mut self.running {
            if place.run.poison.is_some() {
                outcome.poison = Some(place.run.clone());
                return outcome;
            }
            if place.prefill_left > 0 {
                place.prefill_left = place.prefill_left.saturating_sub(self.prefill_tokens);
                if place.prefill_left == 0 {
                    self.cache.insert(&place.run.prompt);
                }
            } else if place.run.make_token() {
                outcome.finished.push(place.run.clone());
            }
        }
        for run in &outcome.finished {
            run.enter(RunPhase::Finished);
            self.remove(run);
        }
        outcome
    }

    fn fill(&mut self, outcome: &mut StepOutcome) {
        while self.running.len() < self.batch_limit {
            let Some((_, run)) = self.waiting.pop_first() else {
                return;
            };
            let cached = self.cache.lookup(&run.prompt);
            outcome.cached_tokens += cached;
            outcome.started.push(run.clone());
            run.enter(RunPhase::Running);
            self.running.push(BatchPlace {
                prefill_left: run.prompt.tokens.saturating_sub(cached),
                run,
            });
        }
    }
}
