//! Claims of non-idempotent requests, appended to the log before dispatch.
//!
//! A router sends each claim to the owner of the request's shard, which appends claims in batches.
//! If the owner does not answer in time, the router appends the same claim itself. In both cases
//! the order of the records on the log decides which claim is granted.

mod claim_manager;
mod claim_message;
mod claim_plugin;
mod claim_shard;
mod joined_answer;
mod run_table;

pub use claim_manager::{
    ClaimError, ClaimGrant, ClaimManager, ClaimStart, claim, claim_or_join, void,
};
pub use joined_answer::JoinedAnswer;
pub use run_table::RunHandle;
