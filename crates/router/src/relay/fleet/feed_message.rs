//! Messages of the feed.

use std::collections::BTreeMap;

use bytes::Bytes;
use ferry_decisions::names::{HostName, ServiceName};
use ferry_decisions::rollout::{ClassCounts, EvidenceRow, RolloutPhase};
use ferry_decisions::roster::UpstreamRecord;
use serde::{Deserialize, Serialize};

/// A question for what changed.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct FeedAsk {
    /// Life of the router whose numbers follow; the numbers of another one mean nothing.
    pub source: String,
    /// Number of the last change that the asking router has.
    pub revision: u64,
    /// Evidence of the asking router.
    pub evidence: Vec<EvidenceRecord>,
}

/// What changed since.
#[derive(Debug, Serialize, Deserialize)]
pub struct FeedAnswer {
    /// Life of the answering router.
    pub source: String,
    /// Number of its last change.
    pub revision: u64,
    /// Changes in order, or the whole state.
    pub changes: FeedChanges,
    /// Milliseconds since the answering router certainly had the operator's newest records.
    pub rules_age_ms: u64,
    /// Milliseconds since it certainly had the newest entries of the upstreams.
    pub listing_age_ms: u64,
    /// Whether it keeps upstreams whose entries were missing after an outage.
    pub holds_missing: bool,
    /// The fleet's evidence about each roll-out under way.
    pub rollouts: Vec<PooledRollout>,
}

/// Changes, or all there is.
#[derive(Debug, Serialize, Deserialize)]
pub enum FeedChanges {
    /// Changes since the number asked for.
    Since(Vec<FeedChange>),
    /// Everything, as an encoded list of changes that is the same for all who ask; upstreams that are not among
    /// it are gone.
    Whole(Bytes),
}

/// One change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FeedChange {
    /// A record of the operator; without a value its key was removed.
    Operator {
        /// Key.
        key: String,
        /// Offset of the record.
        offset: u64,
        /// Value.
        value: Option<Bytes>,
    },
    /// An upstream appeared or changed.
    Upstream(Box<UpstreamRecord>),
    /// An upstream is gone.
    UpstreamGone(HostName),
}

/// A row with the order that it is about.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EvidenceRecord {
    /// Service.
    pub service: ServiceName,
    /// Offset of the order.
    pub order: u64,
    /// Counts.
    pub row: EvidenceRow,
}

/// State of one roll-out as the answering router knows it.
#[derive(Debug, Serialize, Deserialize)]
pub struct PooledRollout {
    /// Service.
    pub service: ServiceName,
    /// Offset of the order.
    pub order: u64,
    /// Phase in force.
    pub phase: Option<RolloutPhase>,
    /// Part of the conversations that the first phase moves.
    pub canary_share: f64,
    /// Time since the order, in milliseconds.
    pub elapsed_ms: u64,
    /// Counts of the fleet by class.
    pub classes: BTreeMap<String, ClassCounts>,
}
