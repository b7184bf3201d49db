//! Acceptance of the answer of a stage, by its rating.

use super::stage_choice::TRUSTED_PASS_RATE;
use super::{StageChoice, StageEstimate};

/// Maximum time that an answer waits for its rating, in milliseconds.
const RATING_TIMEOUT_MS: u64 = 2_000;

/// Rating of an answer, if it arrived within the time that the answer may wait.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RatingOutcome {
    /// Score from 0 to 1.
    Score(f64),
    /// No rating arrived in time.
    Missing,
}

/// Whether an answer is returned to the caller or another stage is tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerVerdict {
    /// Return it: it reaches the quality target.
    Accept,
    /// Return it below the quality target, since no further stage can be tried.
    AcceptBelowTarget,
    /// Return it unrated, since its rating did not arrive in time.
    AcceptUnrated,
    /// Try the stage with this index.
    Escalate(usize),
}

/// Time that the answer of `stage` may wait for its rating, in milliseconds.
///
/// Zero if the rating cannot lead to another stage, so that the answer is returned at once.
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

/// Decides whether to accept the answer of `stage`.
///
/// A missing rating is replaced by the pooled pass rate of the stage: the answer of a trusted stage
/// is accepted; otherwise the next stage is tried if there is time.
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
        (RatingOutcome::Missing, _) if pass >= TRUSTED_PASS_RATE => AnswerVerdict::AcceptUnrated,
        (_, Some(_)) => AnswerVerdict::Escalate(stage + 1),
        (RatingOutcome::Score(_), None) => AnswerVerdict::AcceptBelowTarget,
        (RatingOutcome::Missing, None) => AnswerVerdict::AcceptUnrated,
    }
}
