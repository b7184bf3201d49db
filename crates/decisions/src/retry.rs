//! Retries: which failed requests may be sent again, when late answers are given up for another send, and budgets that
//! limit retries per workspace or service.

mod fleet_retry_bound;
mod head_wait;
mod retry_budget;
mod retry_policy;
mod retry_share;
mod run_gate;
mod smaller_model;
mod stream_pause;
mod trial_pace;
mod upstream_failure;

pub use fleet_retry_bound::FleetRetryBound;
pub use head_wait::{HeadWait, ResendMeans};
pub use retry_budget::{RetryBudget, RetryBudgetConfig};
pub use retry_policy::{GiveUpReason, RetryPolicy, RetryQuery, RetryVerdict};
pub use retry_share::{RetryShare, RetryShareConfig};
pub use run_gate::RunGate;
pub use smaller_model::SmallerAnswer;
pub use stream_pause::{SilencePatience, StreamPause};
pub use trial_pace::{TRIAL_PERIOD, TrialPace};
pub use upstream_failure::{RunState, UpstreamFailure};
