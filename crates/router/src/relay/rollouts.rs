//! Roll-outs of versions.

mod rollout_desk;

pub use rollout_desk::RolloutDesk;
