//! Claims, which ensure that each non-idempotent request runs at most once.
//!
//! The order of the log's records decides. A claim depends only on the records before its own: it
//! is granted if every earlier granted claim of its request has been voided, and permanently refused
//! otherwise. Two owners that append to one stream at once therefore never both grant a request.

mod claim_fold;
mod claim_owner;
mod claim_record;
mod claim_window;
mod request_key;
mod shard_owner;

pub use claim_fold::{ClaimDecision, ClaimFold, ClaimHolder, ClaimOutcome, ClaimStep};
pub use claim_owner::{ClaimOwner, ClaimReply};
pub use claim_record::{ClaimBatch, ClaimEntry, EntryKind, SHARD_COUNT, claim_stream, shard_of};
pub use claim_window::{
    CLOCK_SKEW_MS, ID_FUTURE_MS, ID_WINDOW_MS, IdTimeError, READ_BACK_MS, check_id_time,
};
pub use request_key::RequestKey;
pub use shard_owner::{owned_shards, owner_of};
