//! Claims: at most one run of each non-idempotent request.

mod claim_record;

pub use claim_record::{ClaimBatch, ClaimEntry, SHARD_COUNT, shard_of};
