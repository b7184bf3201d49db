//! Messages of the feed, by which a router syncs from another one.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use ferry_decisions::names::{HostName, ServiceName};
use ferry_decisions::quarantine::CrashRow;
use ferry_decisions::registry::UpstreamRecord;
use ferry_decisions::rollout::{ClassCounts, EvidenceRow, RolloutPhase, TimeSpread};
use serde::{Deserialize, Serialize};

use super::operator_records::KnownOffsets;
use super::record_patch::RecordPatch;
use crate::relay::permits::LimitNotice;

/// A request for the changes since a revision.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct FeedQuery {
    /// Incarnation of the router that counted `revision`; for another incarnation the number has no
    /// meaning.
    pub source: String,
    /// Revision of the last change that the requesting router has.
    pub revision: u64,
    /// Offsets of the operator's records that the requesting router has; absent from routers of an older build, which cannot read the
    /// answer.
    #[serde(default)]
    pub known: Option<KnownOffsets>,
    /// Roll-out evidence of the requesting router.
    pub evidence: Vec<EvidenceRecord>,
    /// Crash counts that may not be in the store yet; absent from routers of an older build.
    #[serde(default)]
    pub crashes: Vec<CrashRow>,
    /// What the requesting router heard of the limits of upstreams.
    #[serde(default)]
    pub limits: Vec<LimitNotice>,
}

/// Response with the changes since the requested revision.
#[derive(Debug, Serialize, Deserialize)]
pub struct FeedAnswer {
    /// Incarnation of the answering router.
    pub source: String,
    /// Revision of its last change.
    pub revision: u64,
    /// Changes in order, or the full state.
    pub changes: FeedChanges,
    /// Records of the operator that the requesting router lacks.
    #[serde(default)]
    pub operator: Vec<RecordPatch>,
    /// How far it knows the topics of the store; the changes contain all of that.
    #[serde(default)]
    pub positions: FeedPositions,
    /// Milliseconds since the answering router was last confirmed to have the operator's newest records.
    pub rules_age_ms: u64,
    /// Milliseconds since it was last confirmed to have the upstreams' newest entries.
    pub listing_age_ms: u64,
    /// Whether it keeps upstreams whose entries were missing after an outage.
    pub holds_missing: bool,
    /// The fleet's evidence about each roll-out in progress.
    pub rollouts: Vec<PooledRollout>,
    /// What the answering router heard of the limits of upstreams.
    #[serde(default)]
    pub limits: Vec<LimitNotice>,
}

/// Offset before which all records of each topic are known; absent for a topic of which nothing is known, and from routers of an
/// older build.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FeedPositions {
    /// The operator's records.
    pub operator: Option<u64>,
    /// The upstreams' entries.
    pub upstreams: Option<u64>,
    /// The routers' rows of crashes.
    pub crashes: Option<u64>,
}

/// Changes since a revision, or the full state.
#[derive(Debug, Serialize, Deserialize)]
pub enum FeedChanges {
    /// Changes since the requested revision, oldest first.
    Since(Vec<FeedChange>),
    /// The full state as an encoded list of changes, which is shared by all responses of one revision;
    /// upstreams that it does not contain are gone.
    Whole(Bytes),
}

/// A change of the store's content.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FeedChange {
    /// A record of the operator, from a router of an older build; its key was removed if the value is absent.
    Operator {
        /// Key of the record.
        key: String,
        /// Offset of the record.
        offset: u64,
        /// Value; absent when the key was removed.
        value: Option<Bytes>,
    },
    /// An upstream appeared or changed.
    Upstream(Box<UpstreamRecord>),
    /// An upstream is gone.
    UpstreamGone(HostName),
    /// Crash counts of a request at one router, as they are in the store.
    Crashes(Box<CrashRow>),
}

/// A row of roll-out evidence, with the order to which it belongs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EvidenceRecord {
    /// Service.
    pub service: ServiceName,
    /// Offset of the order.
    pub order: u64,
    /// Counts of one router.
    pub row: EvidenceRow,
}

/// State of one roll-out as the answering router knows it.
#[derive(Debug, Serialize, Deserialize)]
pub struct PooledRollout {
    /// Service.
    pub service: ServiceName,
    /// Offset of the order.
    pub order: u64,
    /// Phase in force; absent until it is known.
    pub phase: Option<RolloutPhase>,
    /// Share of the conversations that the first phase moves to the new version.
    pub canary_share: f64,
    /// Time since the order, in milliseconds.
    pub elapsed_ms: u64,
    /// Counts of the fleet by request class.
    pub classes: BTreeMap<String, ClassCounts>,
    /// Times of the fleet's answers by request class.
    #[serde(default)]
    pub times: BTreeMap<String, TimeSpread>,
    /// Marks of ongoing conversations on the old versions.
    #[serde(default)]
    pub ongoing: BTreeSet<u32>,
}
