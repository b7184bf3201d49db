//! What the trial's caller was answered.

use std::collections::BTreeMap;

use ferry_decisions::names::RequestId;

/// Completion tokens of each answered request.
#[derive(Debug, Default)]
pub struct AnswerTally {
    answers: BTreeMap<RequestId, u64>,
}

impl AnswerTally {
    /// Notes that `id` was answered with `tokens` completion tokens.
    pub fn note(&mut self, id: &RequestId, tokens: u64) {
        self.answers.insert(id.clone(), tokens);
    }

    /// Answered requests with their completion tokens.
    pub fn answers(&self) -> &BTreeMap<RequestId, u64> {
        &self.answers
    }

    /// Completion tokens of all answers.
    pub fn tokens(&self) -> u64 {
        self.answers.values().sum()
    }
}
