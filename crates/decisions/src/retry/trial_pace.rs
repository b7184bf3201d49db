//! Trials of request classes that are refused because of what was learned of them: what is refused cannot show that it has changed.

use std::collections::HashMap;
use std::time::Duration;

use crate::time::MonotonicTime;

/// Time without evidence of a class after which one of its requests is let through.
pub const TRIAL_PERIOD: Duration = Duration::from_secs(5);

/// When evidence of each class last came or was sought.
#[derive(Debug, Default)]
pub struct TrialPace {
    classes: HashMap<String, LastEvidence>,
}

/// Last evidence of a class.
#[derive(Debug, Clone, Copy)]
struct LastEvidence {
    at: MonotonicTime,
    /// Whether a request was let through at this time, and nothing came since.
    is_trial: bool,
}

impl TrialPace {
    /// Records evidence of `class`; returns whether it answers a trial, so that what was learned before no longer holds.
    pub fn record(&mut self, class: &str, now: MonotonicTime) -> bool {
        let evidence = LastEvidence {
            at: now,
            is_trial: false,
        };
        match self.classes.get_mut(class) {
            Some(last) => std::mem::replace(last, evidence).is_trial,
            None => {
                self.classes.insert(class.to_owned(), evidence);
                false
            }
        }
    }

    /// Whether a request of `class` is let through although it would be refused: one in each [`TRIAL_PERIOD`] in which no evidence came.
    pub fn may_try(&mut self, class: &str, now: MonotonicTime) -> bool {
        if !self.is_due(class, now) {
            return false;
        }
        let trial = LastEvidence {
            at: now,
            is_trial: true,
        };
        self.classes.insert(class.to_owned(), trial);
        true
    }

    /// Whether [`TrialPace::may_try`] would let a request of `class` through now.
    pub fn is_due(&self, class: &str, now: MonotonicTime) -> bool {
        let last = self.classes.get(class);
        last.is_some_and(|last| now.since(last.at) >= TRIAL_PERIOD)
    }
}
