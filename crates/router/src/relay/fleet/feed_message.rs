//! Messages of the feed, by which a router syncs from another one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::evacuation::{KeptEvacuation, RecentEvacuation};
use ferry_decisions::names::{HostName, ServiceName};
use ferry_decisions::quarantine::CrashRow;
use ferry_decisions::registry::UpstreamRecord;
use ferry_decisions::rollout::{ClassCounts, EvidenceRow, RolloutPhase, TimeSpread};
use ferry_decisions::sync::RouterEntry;
use ferry_decisions::topic::{StoreEra, TopicPosition};
use serde::{Deserialize, Serialize};

use super::operator_records::KnownOffsets;
use super::record_patch::RecordPatch;
use crate::relay::permits::{BrittleNotice, LimitNotice};

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
    /// Era of these offsets; absent from routers of an older build.
    #[serde(default)]
    pub known_era: Option<StoreEra>,
    /// Revision of the configuration in force at the requesting router; absent before the first one, and from routers of an older build.
    #[serde(default)]
    pub rules_revision: Option<u64>,
    /// Roll-out evidence of the requesting router.
    pub evidence: Vec<EvidenceRecord>,
    /// Crash counts that may not be in the store yet, from a router of an older build, which repeats them until the feed has them; others
    /// report each once.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashRow>,
    /// What the requesting router heard of the limits of upstreams.
    #[serde(default)]
    pub limits: Vec<LimitNotice>,
    /// Services whose upstreams are brittle, as the requesting router heard.
    #[serde(default)]
    pub brittle: Vec<BrittleNotice>,
    /// Entry of the requesting router, in its first query to this incarnation.
    #[serde(default)]
    pub entry: Option<RouterEntry>,
    /// Revision of the list of routers that the requesting router has from this incarnation.
    #[serde(default)]
    pub routers_revision: u64,
    /// Whether the answer must not wait for a change.
    #[serde(default)]
    pub at_once: bool,
    /// Marks of ongoing conversations that the requesting router has.
    #[serde(default)]
    pub ongoing: Vec<OngoingCount>,
}

/// Number of marks of ongoing conversations that a router has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OngoingCount {
    /// Service.
    pub service: ServiceName,
    /// Offset of the order.
    pub order: u64,
    /// Number of marks.
    pub count: usize,
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
    /// Revision of the configuration in force at the answering router, which may be later than that of the records: the store can come back
    /// from an older copy. Absent before the first one, and from routers of an older build.
    #[serde(default)]
    pub rules_revision: Option<u64>,
    /// Milliseconds since the answering router was last confirmed to have the operator's newest records, whether or not it has checked their
    /// era.
    pub rules_age_ms: u64,
    /// Milliseconds since it was last confirmed to have the upstreams' newest entries.
    pub listing_age_ms: u64,
    /// Whether it keeps upstreams whose entries were missing after an outage; routers of an older build would take them over.
    pub holds_missing: bool,
    /// The fleet's evidence about each roll-out in progress.
    pub rollouts: Vec<PooledRollout>,
    /// What the answering router heard of the limits of upstreams.
    #[serde(default)]
    pub limits: Vec<LimitNotice>,
    /// Services whose upstreams are brittle, as the answering router heard.
    #[serde(default)]
    pub brittle: Vec<BrittleNotice>,
    /// Entries of routers that changed after the requested revision of their list.
    #[serde(default)]
    pub routers: Vec<RouterEntry>,
    /// Revision of the list of routers.
    #[serde(default)]
    pub routers_revision: u64,
    /// Whether that list has the routers that started together with the answering one.
    #[serde(default)]
    pub has_full_list: bool,
    /// Router that read the answering one's content from the store; absent from routers of an older build.
    #[serde(default)]
    pub origin: Option<HostName>,
    /// The last outage of the store; absent from routers of an older build, whose upstreams include those that are missing since an outage.
    #[serde(default)]
    pub outage: Option<StoreOutage>,
    /// Evacuations that the answering router keeps although the store's present era lacks their records.
    #[serde(default)]
    pub kept_evacuations: Vec<KeptEvacuation>,
    /// Evacuations that are in force at the answering router or ended so recently that upstreams may be cold; none from routers of an older build.
    #[serde(default)]
    pub recent_evacuations: Vec<RecentEvacuation>,
    /// Whether the answer states them; false from routers of an older build.
    #[serde(default)]
    pub states_recent: bool,
}

/// The last outage of the store as the answering router saw it. Upstreams that are missing since then count as gone in the changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreOutage {
    /// Time since its end, in milliseconds; absent if there was none.
    pub ended_ms: Option<u64>,
}

impl StoreOutage {
    /// Time since its end; `None` if there was none.
    pub fn age(self) -> Option<Duration> {
        self.ended_ms.map(Duration::from_millis)
    }
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
    /// Eras of these offsets.
    pub eras: FeedEras,
}

/// Era of the store in which each topic is known; absent for a topic of which nothing is known, and from routers of an older build.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FeedEras {
    /// Of the operator's records.
    pub operator: Option<StoreEra>,
    /// Of the upstreams' entries.
    pub upstreams: Option<StoreEra>,
    /// Of the routers' rows of crashes.
    pub crashes: Option<StoreEra>,
}

/// How far a router knows each topic.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct TopicPositions {
    /// The operator's records.
    pub operator: Option<TopicPosition>,
    /// The upstreams' entries.
    pub upstreams: Option<TopicPosition>,
    /// The routers' rows of crashes.
    pub crashes: Option<TopicPosition>,
}

impl From<TopicPositions> for FeedPositions {
    fn from(positions: TopicPositions) -> Self {
        let TopicPositions {
            operator,
            upstreams,
            crashes,
        } = positions;
        Self {
            operator: operator.map(|position| position.offset),
            upstreams: upstreams.map(|position| position.offset),
            crashes: crashes.map(|position| position.offset),
            eras: FeedEras {
                operator: operator.map(|position| position.era),
                upstreams: upstreams.map(|position| position.era),
                crashes: crashes.map(|position| position.era),
            },
        }
    }
}

impl FeedPositions {
    /// The positions, for a router that itself knows the topics up to `own`: an offset without an era counts as one of the same era.
    pub fn resolve(&self, own: &TopicPositions) -> TopicPositions {
        let position = |offset: Option<u64>, era: Option<StoreEra>, own: Option<TopicPosition>| {
            let era = era.unwrap_or_else(|| own.unwrap_or_default().era);
            offset.map(|offset| TopicPosition::new(era, offset))
        };
        TopicPositions {
            operator: position(self.operator, self.eras.operator, own.operator),
            upstreams: position(self.upstreams, self.eras.upstreams, own.upstreams),
            crashes: position(self.crashes, self.eras.crashes, own.crashes),
        }
    }
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
    /// Marks of ongoing conversations on the old versions; empty if the requesting router has as many.
    #[serde(default)]
    pub ongoing: BTreeSet<u32>,
}
