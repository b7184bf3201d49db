//! Roll-outs of versions: which version a conversation gets, what its answers say, and the exchange
//! of that with the other routers through the store.

mod active_rollout;
mod rollout_desk;
mod rollout_exchange;
mod rollout_pool;
mod session_memory;

pub use rollout_desk::{AnswerNote, RolloutDesk, VersionPick};
pub use rollout_exchange::{follow, forget_sessions};
pub use rollout_pool::{own_evidence, pooled, take_pooled};
pub use session_memory::SessionKey;
