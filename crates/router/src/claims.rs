//! Claims of non-idempotent requests, made on the log before their dispatch.
//!
//! A router asks the owner of the request's shard, which batches. If the owner does not answer in
//! time, the router appends the same claim itself; the log's order decides either way.

mod claim_desk;
mod claim_message;
mod claim_plugin;
mod claim_shard;
mod joined_answer;
mod run_table;

pub use claim_desk::{ClaimDesk, ClaimGrant, ClaimProblem, ClaimStart, claim, claim_or_join, void};
pub use joined_answer::JoinedAnswer;
pub use run_table::RunTicket;
