//! Roll-outs of versions: choice of the version for a conversation, evidence from its answers, and the
//! exchange of evidence and phases with the other routers through the store.

mod active_rollout;
mod rollout_desk;
mod rollout_exchange;
mod rollout_pool;
mod session_versions;

pub use rollout_desk::{AnswerEvidence, RolloutDesk, VersionPick};
pub use rollout_exchange::{follow, forget_sessions};
pub use rollout_pool::{own_evidence, pooled, take_pooled};
pub use session_versions::SessionKey;
