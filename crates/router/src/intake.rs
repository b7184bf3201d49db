//! Intake: which requests are taken in, by workspace limit, fair part and deadline.

mod intake_desk;
mod intake_message;
mod intake_plugin;
mod version_pool;
mod workspace_intake;

pub use intake_desk::{IntakeDesk, offer};
pub use version_pool::VersionPool;
