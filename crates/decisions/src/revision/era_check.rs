//! Questions to other routers before what the store holds in an era counts as the newest.

use std::time::Duration;

use crate::time::MonotonicTime;
use crate::topic::StoreEra;

/// Time for which a router that knows its fleet goes on asking while nobody answers.
const SILENCE_PATIENCE: Duration = Duration::from_millis(800);
/// Time for which a router that was not there before the era began goes on asking while nobody who was there answers. Longer than the
/// operator takes to write again what the store lost.
const NEWCOMER_PATIENCE: Duration = Duration::from_secs(3);

/// Answers of one round of questions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EraRound {
    /// Number of routers that were asked.
    pub asked: usize,
    /// Number of those that answered.
    pub answered: usize,
    /// Number of those whose rules were confirmed. The others have just started, or lost contact, and their ignorance tells nothing.
    pub informed: usize,
}

/// What follows a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraStep {
    /// Other routers are asked again: some may know better.
    AskAgain,
    /// The store's records count, with what other routers stated.
    Pass,
    /// They count although nobody who was there before was heard: what only such routers knew is lost.
    PassUnheard,
}

/// Check of one era of the store.
#[derive(Debug, Clone, Copy)]
pub struct EraCheck {
    begun_at: MonotonicTime,
    /// Whether this router can't tell what the store lost when the era began.
    is_newcomer: bool,
}

impl EraCheck {
    /// The check of `era` by a router that meets it at `now`; `is_informed` if its rules were confirmed until then.
    ///
    /// A store that never came back from a copy has lost nothing.
    pub fn begin(era: StoreEra, is_informed: bool, now: MonotonicTime) -> Self {
        Self {
            begun_at: now,
            is_newcomer: era > StoreEra::default() && !is_informed,
        }
    }

    /// What follows `round`, which ended at `now`.
    pub fn step(&self, round: EraRound, now: MonotonicTime) -> EraStep {
        let took = now.since(self.begun_at);
        match self.is_newcomer {
            true if round.informed > 0 => EraStep::Pass,
            true if took >= NEWCOMER_PATIENCE => EraStep::PassUnheard,
            true => EraStep::AskAgain,
            false if round.answered > 0 || round.asked == 0 => EraStep::Pass,
            false if took >= SILENCE_PATIENCE => EraStep::PassUnheard,
            false => EraStep::AskAgain,
        }
    }
}
