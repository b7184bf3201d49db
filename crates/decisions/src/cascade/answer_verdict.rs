//! What to do with the answer of a stage.

use super::stage_choice::TRUSTED_PASS;
use super::{StageChoice, StageEstimate};

/// Longest time that an answer waits for its rating, in milliseconds.
const RATING_TIMEOUT_MS: u64 = 2_000;

/// Rating of an answer within the time that it may wait.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RatingOutcome {
    /// Score from 0 to 1.
    Score(f64),
    /// No rating came.
    Missing,
}

/// What to do with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerVerdict {
    /// It reaches the quality target.
    Accept,
    /// It does not, but no further stage can be tried.
    AcceptBelowTarget,
    /// It was not rated in time and is returned as it is.
    AcceptUnrated,
    /// Try the stage with this index.
    Escalate(usize),
}

/// Time that the answer of `stage` may wait for its rating, in milliseconds.
///
/// Zero when the rating could change nothing, so that the answer is returned at once.
pub fn rating_wait_ms(
    stages: &[StageEstimate],
    stage: usize,
    choice: StageChoice,
    time_left_ms: Option<u64>,
) -> u64 {
    let Some(next) = stages.get(stage + 1).filter(|_| choice.may_escalate) else {
        return 0;
    };
    let spare = time_left_ms.map_or(u64::MAX, |left| left.saturating_sub(next.latency_ms));
    spare.min(RATING_TIMEOUT_MS)
}

/// Judges the answer of `stage`.
///
/// A missing rating is replaced by the stage's pooled pass rate: a trusted stage's answer is
/// returned, another's is tried on the next stage if there is time.
pub fn judge_answer(
    stages: &[StageEstimate],
    stage: usize,
    choice: StageChoice,
    rating: RatingOutcome,
    quality_target: f64,
    time_left_ms: Option<u64>,
) -> AnswerVerdict {
    let next = stages
        .get(stage + 1)
        .filter(|_| choice.may_escalate)
        .filter(|next| time_left_ms.is_none_or(|left| next.latency_ms <= left));
    let pass = if stage == choice.stage {
        stages[stage].first_pass
    } else {
        stages[stage].escalated_pass
    };
    match (rating, next) {
        (RatingOutcome::Score(score), _) if score >= quality_target => AnswerVerdict::Accept,
        (RatingOutcome::Missing, _) if pass >= TRUSTED_PASS => AnswerVerdict::AcceptUnrated,
        (_, Some(_)) => AnswerVerdict::Escalate(stage + 1),
        (RatingOutcome::Score(_), None) => AnswerVerdict::AcceptBelowTarget,
        (RatingOutcome::Missing, None) => AnswerVerdict::AcceptUnrated,
    }
}
