//! State of one request in the engine.

use std::sync::atomic::{AtomicUsize, Ordering};

use ferry_decisions::names::{RequestId, VersionName};
use ferry_platform::engine::TokenUsage;
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::Instant;

use super::prefix_cache::PromptPrefixes;
use crate::faults::CrashOrder;

/// Phase of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunPhase {
    /// Waiting in the queue.
    Waiting,
    /// Running in the batch.
    Running,
    /// Removed from the batch or the queue because all its readers left; can be resumed within a
    /// limited time.
    Suspended,
    /// All tokens have been generated.
    Finished,
    /// Cancelled; cannot be resumed.
    Cancelled,
    /// Lost in a crash of the engine.
    Crashed,
}

/// Phase of a run and the number of tokens generated so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RunProgress {
    pub(super) phase: RunPhase,
    pub(super) generated: usize,
}

/// A request with its full answer and its progress.
#[derive(Debug)]
pub(super) struct ChatRun {
    pub(super) id: RequestId,
    pub(super) version: VersionName,
    /// Higher values run first.
    pub(super) priority: i64,
    pub(super) prompt: PromptPrefixes,
    /// Tokens of the whole answer.
    pub(super) tokens: Vec<String>,
    /// Crash that the run causes, if any.
    pub(super) poison: Option<CrashOrder>,
    pub(super) progress: watch::Sender<RunProgress>,
    /// Number of callers that read the answer.
    readers: AtomicUsize,
    /// When the run left the batch or the queue; absent while it waits or runs.
    stopped_at: Mutex<Option<Instant>>,
}

impl ChatRun {
    pub(super) fn new(
        id: RequestId,
        version: VersionName,
        priority: i64,
        prompt: PromptPrefixes,
        tokens: Vec<String>,
        poison: Option<CrashOrder>,
    ) -> Self {
        Self {
            id,
            version,
            priority,
            prompt,
            tokens,
            poison,
            progress: watch::Sender::new(RunProgress {
                phase: RunPhase::Waiting,
                generated: 0,
            }),
            readers: AtomicUsize::new(0),
            stopped_at: Mutex::new(None),
        }
    }

    /// Current phase of the run.
    pub(super) fn phase(&self) -> RunPhase {
        self.progress.borrow().phase
    }

    /// Sets the phase, and records the time when the run no longer waits or runs.
    pub(super) fn set_phase(&self, phase: RunPhase) {
        let is_active = matches!(phase, RunPhase::Waiting | RunPhase::Running);
        *self.stopped_at.lock() = (!is_active).then(Instant::now);
        self.progress.send_modify(|progress| progress.phase = phase);
    }

    /// Generates the next token; returns true when it was the last one.
    pub(super) fn generate_token(&self) -> bool {
        self.progress
            .send_modify(|progress| progress.generated += 1);
        self.progress.borrow().generated >= self.tokens.len()
    }

    /// When the run left the batch or the queue; absent while it waits or runs.
    pub(super) fn stopped_at(&self) -> Option<Instant> {
        *self.stopped_at.lock()
    }

    /// Token usage of the prompt and the full answer.
    pub(super) fn usage(&self) -> TokenUsage {
        let completion_tokens = self.tokens.len() as u64;
        TokenUsage {
            prompt_tokens: self.prompt.tokens,
            completion_tokens,
            total_tokens: self.prompt.tokens + completion_tokens,
        }
    }

    /// Adds a reader.
    pub(super) fn attach(&self) {
        self.readers.fetch_add(1, Ordering::Relaxed);
    }

    /// Removes a reader; returns true when it was the last one.
    pub(super) fn detach(&self) -> bool {
        self.readers.fetch_sub(1, Ordering::Relaxed) == 1
    }
}
