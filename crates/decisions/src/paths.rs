//! Beliefs about the network paths from one router to the upstreams.

mod path_health;
mod probe_budget;

pub use path_health::PathHealth;
pub use probe_budget::ProbeBudget;
