//! Cascades: stages with different models, where a request escalates to a later stage if its answer
//! is not accepted. Chooses the start stage and decides whether an answer is accepted.

mod answer_verdict;
mod drop_rates;
mod escalation_query;
mod pass_pool;
mod rating_health;
mod service_pace;
mod stage_choice;
mod stage_estimate;
mod start_choice;

pub use answer_verdict::{AnswerVerdict, RatingOutcome, judge_answer, rating_wait_ms};
pub use drop_rates::{DropRates, DropShare, MIN_OBSERVATIONS, SizeRange, TRIAL_INTERVAL};
pub use escalation_query::{EscalationQuery, is_low_confidence};
pub use pass_pool::{PassDelta, PassPool, PassRow, StageEntry, StageKey};
pub use rating_health::{RatingHealth, RatingMonitor};
pub use service_pace::ServicePace;
pub use stage_choice::{CascadeQuery, ChoiceReason, StageChoice};
pub use stage_estimate::StageEstimate;
pub use start_choice::{StageFigures, StartChoice, StartQuery, StartReason};
