//! Records of the claim streams.

use serde::{Deserialize, Serialize};
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use super::RequestKey;
use crate::names::{HostName, Incarnation, RequestId};
use crate::time::UnixMillis;

/// Number of claim streams, and of bill streams.
pub const SHARD_COUNT: u16 = 16;

/// Shard that the records of `request` belong to.
pub fn shard_of(request: &RequestId) -> u16 {
    (xxh3_64(request.as_str().as_bytes()) % u64::from(SHARD_COUNT)) as u16
}

/// Name of the claim stream of `shard`.
pub fn claim_stream(shard: u16) -> String {
    format!("claims-{shard}")
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

closed_set! {
    /// What an entry does.
    pub enum EntryKind {
        /// Makes a claim.
        Claim,
        /// Gives a claim up.
        Void,
    }
}

/// One entry of a batch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "entry", rename_all = "snake_case")]
pub enum ClaimEntry {
    /// A router asks to run a request. The first unvoided claim of an id wins.
    Claim {
        /// Request to run.
        request: RequestKey,
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
        request: RequestKey,
        /// Claim that is given up.
        claim: Uuid,
        /// When it was given up.
        time: UnixMillis,
    },
}

impl ClaimEntry {
    /// Request that the entry is about.
    pub fn request(&self) -> &RequestKey {
        match self {
            Self::Claim { request, .. } | Self::Void { request, .. } => request,
        }
    }

    /// What the entry does.
    pub fn kind(&self) -> EntryKind {
        match self {
            Self::Claim { .. } => EntryKind::Claim,
            Self::Void { .. } => EntryKind::Void,
        }
    }

    /// Claim that is made or given up.
    pub fn claim(&self) -> Uuid {
        match self {
            Self::Claim { claim, .. } | Self::Void { claim, .. } => *claim,
        }
    }
}
