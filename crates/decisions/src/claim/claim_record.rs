//! Records of the claim streams.

use serde::{Deserialize, Serialize};
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use crate::names::{HostName, Incarnation, RequestId};
use crate::time::UnixMillis;

/// Number of claim streams, and of bill streams.
pub const SHARD_COUNT: u16 = 64;

/// Shard that the records of `request` belong to.
pub fn shard_of(request: &RequestId) -> u16 {
    (xxh3_64(request.as_str().as_bytes()) % u64::from(SHARD_COUNT)) as u16
}

value_type! {
    /// One record of a claim stream: entries that an owner appended together, in order.
    pub struct ClaimBatch {
        /// Router host that appended the batch.
        pub owner: HostName,
        /// Life of the process that appended it.
        pub incarnation: Incarnation,
        /// Identifier of the batch; finds it after a lost answer.
        pub batch: Uuid,
        /// Entries in order.
        pub entries: Vec<ClaimEntry>,
    }
}

/// One entry of a batch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "entry", rename_all = "snake_case")]
pub enum ClaimEntry {
    /// A router asks to run a request. The first unvoided claim of an id wins.
    Claim {
        /// Request to run.
        request: RequestId,
        /// Identifier of this claim, unique among all claims.
        claim: Uuid,
        /// Router host that will run the request.
        router: HostName,
        /// Life of the router process that will run it.
        incarnation: Incarnation,
        /// When the claim was made.
        time: UnixMillis,
    },
    /// A claim whose request was certainly not run; the id may be claimed again.
    Void {
        /// Request of the claim.
        request: RequestId,
        /// Claim that is given up.
        claim: Uuid,
        /// When it was given up.
        time: UnixMillis,
    },
}
