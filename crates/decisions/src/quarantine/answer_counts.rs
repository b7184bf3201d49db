//! Recent answers, counted by what crashes are counted for.

use std::collections::HashMap;

use super::CrashSubject;
use crate::time::UnixMillis;

/// Time after which the counts become the previous ones, in milliseconds; older counts are dropped.
const GENERATION_MS: u64 = 30_000;
/// Maximum number of subjects counted in one generation; further ones are not counted.
const GENERATION_LIMIT: usize = 1_024;

/// Answers of the present and the previous generation.
#[derive(Debug, Default)]
pub(super) struct AnswerCounts {
    present: HashMap<CrashSubject, u32>,
    previous: HashMap<CrashSubject, u32>,
    /// Start of the present generation.
    started_at: UnixMillis,
}

impl AnswerCounts {
    /// Counts one answer to `subject`.
    pub(super) fn add(&mut self, subject: CrashSubject, now: UnixMillis) {
        self.rotate(now);
        let is_full = self.present.len() >= GENERATION_LIMIT;
        if !is_full || self.present.contains_key(&subject) {
            *self.present.entry(subject).or_default() += 1;
        }
    }

    /// Answers to `subject` in the present and the previous generation.
    pub(super) fn recent(&mut self, subject: &CrashSubject, now: UnixMillis) -> u32 {
        self.rotate(now);
        let counts = [&self.present, &self.previous];
        counts.iter().filter_map(|counts| counts.get(subject)).sum()
    }

    fn rotate(&mut self, now: UnixMillis) {
        let age = now.since(self.started_at);
        if age < GENERATION_MS {
            return;
        }
        self.previous = std::mem::take(&mut self.present);
        if age >= GENERATION_MS * 2 {
            self.previous.clear();
        }
        self.started_at = now;
    }
}
