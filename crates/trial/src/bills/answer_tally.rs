//! Answers that the trial's caller received.

use std::collections::BTreeMap;

use ferry_decisions::names::RequestId;

/// Completion tokens of each answered request.
#[derive(Debug, Default)]
pub struct AnswerTally {
    answers: BTreeMap<RequestId, u64>,
}

impl AnswerTally {
    /// Records that `id` was answered with `tokens` completion tokens.
    pub fn record(&mut self, id: &RequestId, tokens: u64) {
        self.answers.insert(id.clone(), tokens);
    }

    /// Returns the answered requests with their completion tokens.
    pub fn answers(&self) -> &BTreeMap<RequestId, u64> {
        &self.answers
    }

    /// Returns the completion tokens of all answers.
    pub fn tokens(&self) -> u64 {
        self.answers.values().sum()
    }
}
