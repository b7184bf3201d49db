//! Publishes configuration changes and follows them until they are in force.

mod change_draft;
mod change_follower;
mod change_progress;
mod publish_error;
mod publisher;

pub use change_draft::ChangeDraft;
pub use change_follower::ChangeFollower;
pub use change_progress::ChangeProgress;
pub use publish_error::PublishError;
pub use publisher::publish;
