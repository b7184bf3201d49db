//! Records of the claim streams, and the assignment of requests to streams.

use serde::{Deserialize, Serialize};
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use super::RequestKey;
use crate::names::{HostName, Incarnation, RequestId};
use crate::time::UnixMillis;

/// Number of shards; each has one claim stream and one bill stream.
pub const SHARD_COUNT: u16 = 16;

/// Shard whose streams hold the records of `request`.
pub fn shard_of(request: &RequestId) -> u16 {
    (xxh3_64(request.as_str().as_bytes()) % u64::from(SHARD_COUNT)) as u16
}

/// Name of the claim stream of `shard`.
pub fn claim_stream(shard: u16) -> String {
    format!("claims-{shard}")
}

value_type! {
    /// One record of a claim stream: entries that an owner appended together.
    pub struct ClaimBatch {
        /// Router host that appended the batch.
        pub owner: HostName,
        /// Incarnation of the process that appended it.
        pub incarnation: Incarnation,
        /// Identifier of the batch; tells whether an append without a response reached the log.
        pub batch: Uuid,
        /// Entries in the order in which they are decided.
        pub entries: Vec<ClaimEntry>,
    }
}

closed_set! {
    /// Kind of a claim entry.
    pub enum EntryKind {
        /// Makes a claim.
        Claim,
        /// Voids a claim.
        Void,
    }
}

/// One entry of a batch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "entry", rename_all = "snake_case")]
pub enum ClaimEntry {
    /// A router claims a request before it runs it. The first unvoided claim of a request is
    /// granted.
    Claim {
        /// Request to run.
        request: RequestKey,
        /// Identifier of this claim, unique among all claims.
        claim: Uuid,
        /// Router host that will run the request.
        router: HostName,
        /// Incarnation of the router process that will run it.
        incarnation: Incarnation,
        /// Time of the claim by the router's clock.
        time: UnixMillis,
    },
    /// Voids a claim whose request was certainly not run; the request id can be claimed again.
    Void {
        /// Request of the claim.
        request: RequestKey,
        /// Claim that is voided.
        claim: Uuid,
        /// Time of the void by the router's clock.
        time: UnixMillis,
    },
}

impl ClaimEntry {
    /// Request that the entry refers to.
    pub fn request(&self) -> &RequestKey {
        match self {
            Self::Claim { request, .. } | Self::Void { request, .. } => request,
        }
    }

    /// Whether the entry makes or voids a claim.
    pub fn kind(&self) -> EntryKind {
        match self {
            Self::Claim { .. } => EntryKind::Claim,
            Self::Void { .. } => EntryKind::Void,
        }
    }

    /// Claim that is made or voided.
    pub fn claim(&self) -> Uuid {
        match self {
            Self::Claim { claim, .. } | Self::Void { claim, .. } => *claim,
        }
    }
}
