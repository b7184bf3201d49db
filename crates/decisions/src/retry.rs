//! Retries: which failed requests may be sent again, and budgets that limit retries per workspace
//! or service.

mod retry_budget;
mod retry_policy;
mod upstream_failure;
mod window_budget;

pub use retry_budget::{RetryBudget, RetryBudgetConfig};
pub use retry_policy::{GiveUpReason, RetryPolicy, RetryQuery, RetryVerdict};
pub use upstream_failure::{RunState, UpstreamFailure};
pub use window_budget::{WindowBudget, WindowBudgetConfig};
