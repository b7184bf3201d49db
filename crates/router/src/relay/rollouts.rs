//! Roll-outs of versions: choice of the version for a conversation, evidence from its answers, and the
//! exchange of evidence and phases with the other routers through the store.

mod active_rollout;
mod pace_model;
mod rated_time;
mod rollout_exchange;
mod rollout_manager;
mod rollout_pool;
mod session_versions;

pub use rollout_exchange::{expire_sessions, follow};
pub use rollout_manager::{AnswerEvidence, AnswerSign, RolloutManager, VersionPick};
pub use rollout_pool::{apply_pooled, ongoing_counts, own_evidence, pooled_rollouts};
pub use session_versions::SessionKey;
