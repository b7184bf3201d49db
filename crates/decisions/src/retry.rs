//! Retries: what may be sent again where, and how many of them a workspace may cause.

mod retry_budget;
mod retry_policy;
mod upstream_failure;
mod window_budget;

pub use retry_budget::{RetryBudget, RetryBudgetConfig};
pub use retry_policy::{GiveUpReason, RetryPolicy, RetryQuery, RetryVerdict};
pub use upstream_failure::{RunState, UpstreamFailure};
pub use window_budget::{WindowBudget, WindowBudgetConfig};
