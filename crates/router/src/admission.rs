//! Admission of requests: workspace limits, fair shares of capacity, service time estimates and retry
//! budgets.

mod admission_manager;
mod admission_message;
mod admission_plugin;
mod version_pool;
mod workspace_admission;

pub use admission_manager::{AdmissionManager, check_limit};
pub use version_pool::VersionPool;
