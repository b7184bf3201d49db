//! One request as the engine runs it.

use std::sync::atomic::{AtomicUsize, Ordering};

use ferry_decisions::names::{RequestId, VersionName};
use ferry_platform::engine::TokenUsage;
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::Instant;

use super::prefix_cache::PromptShape;
use crate::faults::CrashOrder;

/// Where a run stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunPhase {
    /// In the queue.
    Waiting,
    /// In the batch.
    Running,
    /// Left by its caller; may be resumed for a while.
    Suspended,
    /// All tokens are made.
    Finished,
    /// Given up for good.
    Cancelled,
    /// Lost in a crash.
    Crashed,
}

/// Phase of a run and the tokens made so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RunProgress {
    pub(super) phase: RunPhase,
    pub(super) made: usize,
}

/// A request with its answer and its progress.
#[derive(Debug)]
pub(super) struct ChatRun {
    pub(super) id: RequestId,
    pub(super) version: VersionName,
    /// Higher runs first.
    pub(super) priority: i64,
    pub(super) prompt: PromptShape,
    /// Tokens of the whole answer.
    pub(super) tokens: Vec<String>,
    /// Crash that the run causes.
    pub(super) poison: Option<CrashOrder>,
    pub(super) progress: watch::Sender<RunProgress>,
    /// Callers that read the answer.
    readers: AtomicUsize,
    /// When the run left the batch or the queue.
    ended: Mutex<Option<Instant>>,
}

impl ChatRun {
    pub(super) fn new(
        id: RequestId,
        version: VersionName,
        priority: i64,
        prompt: PromptShape,
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
                made: 0,
            }),
            readers: AtomicUsize::new(0),
            ended: Mutex::new(None),
        }
    }

    /// Where the run stands.
    pub(super) fn phase(&self) -> RunPhase {
        self.progress.borrow().phase
    }

    /// Moves to `phase` and notes the time when the run stops there.
    pub(super) fn enter(&self, phase: RunPhase) {
        let moving = matches!(phase, RunPhase::Waiting | RunPhase::Running);
        *self.ended.lock() = (!moving).then(Instant::now);
        self.progress.send_modify(|progress| progress.phase = phase);
    }

    /// Makes the next token; true when it was the last.
    pub(super) fn make_token(&self) -> bool {
        self.progress.send_modify(|progress| progress.made += 1);
        self.progress.borrow().made >= self.tokens.len()
    }

    /// When the run stopped, if it did.
    pub(super) fn ended(&self) -> Option<Instant> {
        *self.ended.lock()
    }

    /// Tokens of the prompt and of the whole answer.
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

    /// Takes a reader off; true when it was the last.
    pub(super) fn detach(&self) -> bool {
        self.readers.fetch_sub(1, Ordering::Relaxed) == 1
    }
}
