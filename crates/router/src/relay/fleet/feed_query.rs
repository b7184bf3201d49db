//! One feed request to another router, and what its answer changes here.

use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

use ferry_decisions::names::HostName;
use ferry_decisions::registry::UpstreamRecord;
use ferry_decisions::topic::TopicPosition;
use ferry_platform::store::KeyedRecord;
use tokio::time::timeout;

use super::feed_message::{
    FeedAnswer, FeedChange, FeedChanges, FeedQuery, StoreOutage, TopicPositions,
};
use super::feed_position::FeedPosition;
use super::fleet_manager::own_entry;
use super::operator_records::{KnownOffsets, KnownRecords};
use super::record_patch::RecordPatch;
use crate::peer::{self, PeerError, PeerTopic, ReplyTimes};
use crate::relay::confirmation_time::ConfirmationTime;
use crate::relay::crashes;
use crate::relay::evacuation::{RecentEnds, learn_recent};
use crate::relay::permits::LimitNews;
use crate::relay::relay_core::SharedCore;
use crate::relay::rollouts;
use crate::relay::watch::{self, SyncedUpstreams};

/// Time for which nothing may come after a feed request whose answer may wait for a change, and after the first one to a router, whose answer
/// holds the full state.
const SILENCE: Duration = Duration::from_millis(900);
/// The same after a feed request that is answered at once.
const PROMPT_SILENCE: Duration = Duration::from_millis(500);
/// Time in which an answer must be complete: one that goes on coming, over a slow link, is worth more than another request.
const ANSWER_TIME: Duration = Duration::from_secs(3);
/// Time for a second attempt, on a new link.
const SECOND_TIME: Duration = Duration::from_millis(700);
/// Highest age of another router's rules at which they count as recent.
const MAX_RULES_AGE: Duration = Duration::from_millis(1_300);
/// Highest age of its upstream entries, as a fraction of the time in which a draining upstream must be noticed.
const MAX_LISTING_AGE_FRACTION: f64 = 0.6;

/// Why another router gave no recent content.
#[derive(Debug, thiserror::Error)]
pub enum FeedError {
    /// This router has no links to others.
    #[error("there are no links to other routers yet; they follow the join")]
    NoLinks,
    /// The query failed.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// Its content is what this router has read itself.
    #[error("that router has its content from this one; it is asked again later")]
    OwnReads,
    /// Its content, which was applied all the same, is old.
    #[error(
        "that router's rules are {rules:?} old and its upstream entries {listing:?} old; another one may have newer ones"
    )]
    Outdated {
        /// Age of the rules.
        rules: Duration,
        /// Age of the upstreams' entries.
        listing: Duration,
    },
    /// A record was a difference to one that is not kept here.
    #[error("a record of the operator cannot be restored: {0}; the next answer has it whole")]
    Record(io::Error),
    /// It is of an older build, and does not tell missing upstreams from others.
    #[error(
        "that router still lists upstreams whose entries are missing since a store outage; they are removed soon"
    )]
    MissingUpstreams,
}

/// Whether an answer may wait for a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueryUrgency {
    /// It waits a moment, unless there is a change.
    Waits,
    /// It comes at once.
    AtOnce,
}

/// Asks `source` for its changes after `position`, and applies them; returns the new position.
///
/// # Errors
///
/// Fails when the router does not answer or its content is not recent; what is newer than known here is applied even then.
pub async fn ask_source(
    core: &SharedCore,
    source: &HostName,
    mut position: FeedPosition,
    urgency: QueryUrgency,
) -> (FeedPosition, Result<(), FeedError>) {
    let result = ask(core, source, &mut position, urgency).await;
    (position, result)
}

async fn ask(
    core: &SharedCore,
    source: &HostName,
    position: &mut FeedPosition,
    urgency: QueryUrgency,
) -> Result<(), FeedError> {
    let hub = core.fleet.hub().ok_or(FeedError::NoLinks)?;
    let query = build_query(core, position, urgency);
    let times = ReplyTimes {
        silence: match (position.source.is_empty(), urgency) {
            (true, _) | (false, QueryUrgency::Waits) => SILENCE,
            (false, QueryUrgency::AtOnce) => PROMPT_SILENCE,
        },
        total: ANSWER_TIME,
    };
    let requested_at = ConfirmationTime::now();
    let send = || hub.send_query(source, PeerTopic::Feed, &query, times);
    let answer: FeedAnswer = match send().await {
        // The router may well live: only the connection may have gone silent.
        Err(PeerError::NothingCame(_)) => timeout(SECOND_TIME, send())
            .await
            .map_err(|_| PeerError::TimedOut(source.clone()))??,
        answer => answer?,
    };
    core.crashes.record_incarnation(source, &answer.source);
    if answer.holds_missing && answer.outage.is_none() {
        return Err(FeedError::MissingUpstreams);
    }
    let rules = Duration::from_millis(answer.rules_age_ms);
    let listing = Duration::from_millis(answer.listing_age_ms);
    let own = core.topic_positions();
    let positions = answer.positions.resolve(&own);
    let origin = answer.origin.clone();
    let rules_revision = answer.rules_revision;
    apply_answer(core, answer, &positions, position)?;
    core.operator_topic.hear(source, rules_revision);
    // A router that knows nothing of a topic states the time since its own start.
    if let Some(operator) = positions.operator {
        core.operator_topic
            .confirm(operator.era, requested_at.saturating_sub(rules));
    }
    if let Some(upstreams) = positions.upstreams {
        core.upstream_topic
            .confirm(upstreams.era, requested_at.saturating_sub(listing));
    }
    let drain = core.settings.load().bounds.drain;
    let is_old = rules > MAX_RULES_AGE || listing > drain.mul_f64(MAX_LISTING_AGE_FRACTION);
    let lacks_records = positions.operator.is_none();
    if is_old || lacks_records || is_of_past_era(&positions, &own) {
        return Err(FeedError::Outdated { rules, listing });
    }
    if origin.as_ref() == Some(&core.settings.load().host) {
        return Err(FeedError::OwnReads);
    }
    core.fleet.record_origin(origin);
    core.crashes.wake_report();
    Ok(())
}

/// Whether the operator's records or the upstreams' entries of a router at `positions` are of an earlier era than `own`.
fn is_of_past_era(positions: &TopicPositions, own: &TopicPositions) -> bool {
    let is_past = |position: Option<TopicPosition>, own: Option<TopicPosition>| {
        let eras = position.zip(own);
        eras.is_some_and(|(position, own)| position.era < own.era)
    };
    is_past(positions.operator, own.operator) || is_past(positions.upstreams, own.upstreams)
}

fn build_query(core: &SharedCore, position: &FeedPosition, urgency: QueryUrgency) -> FeedQuery {
    let is_first = position.source.is_empty();
    let settings = core.settings.load();
    let address = core.fleet.hub().map(|hub| hub.address());
    let entry = address.filter(|_| is_first);
    let news = core.permits.news(core.clock.now());
    let known = known_records(core, position);
    FeedQuery {
        source: position.source.clone(),
        revision: position.revision,
        known: Some(known.offsets),
        known_era: known.era,
        rules_revision: core.revision_in_force(),
        evidence: rollouts::own_evidence(core),
        crashes: Vec::new(),
        limits: news.limits,
        brittle: news.brittle,
        entry: entry.map(|address| own_entry(&settings, address)),
        routers_revision: position.routers_revision,
        at_once: urgency == QueryUrgency::AtOnce,
        ongoing: rollouts::ongoing_counts(core),
    }
}

/// The operator's records to which the next answer may hold differences.
fn known_records(core: &SharedCore, position: &FeedPosition) -> KnownRecords {
    let mut known = core.fleet.feed.known_records();
    if position.needs_whole_records {
        known.offsets = KnownOffsets::new();
    }
    known
}

fn restore_records(
    core: &SharedCore,
    patches: &[RecordPatch],
    position: &mut FeedPosition,
) -> Result<Vec<KeyedRecord>, FeedError> {
    let records = patches
        .iter()
        .map(|patch| core.fleet.feed.restore_record(patch));
    let records: io::Result<Vec<KeyedRecord>> = records.collect();
    position.needs_whole_records = records.is_err();
    records.map_err(FeedError::Record)
}

/// Applies what is newer in `answer` than known here.
fn apply_answer(
    core: &SharedCore,
    answer: FeedAnswer,
    positions: &TopicPositions,
    position: &mut FeedPosition,
) -> Result<(), FeedError> {
    let is_whole = matches!(answer.changes, FeedChanges::Whole(_));
    let changes = match answer.changes {
        FeedChanges::Since(changes) => changes,
        FeedChanges::Whole(changes) => peer::decode(&changes)?,
    };
    let mut operator = restore_records(core, &answer.operator, position)?;
    let mut upstreams = BTreeMap::new();
    let mut rows = Vec::new();
    for change in changes {
        match change {
            FeedChange::Operator { key, offset, value } => {
                operator.push(KeyedRecord { key, value, offset });
            }
            FeedChange::Upstream(record) => {
                upstreams.insert(record.incarnation.id.clone(), Some(*record));
            }
            FeedChange::UpstreamGone(id) => {
                upstreams.insert(id, None);
            }
            FeedChange::Crashes(row) => rows.push(*row),
        }
    }
    watch::apply_synced_operator(core, positions.operator, operator);
    core.evacuations
        .learn_kept(&answer.kept_evacuations, core.clock.now());
    let recent = RecentEnds {
        evacuations: answer.recent_evacuations,
        is_stated: answer.states_recent,
    };
    learn_recent(core, &recent);
    let upstreams: BTreeMap<HostName, Option<UpstreamRecord>> = upstreams;
    watch::apply_synced_upstreams(
        core,
        SyncedUpstreams {
            position: positions.upstreams,
            is_whole,
            changes: upstreams,
            outage_age: answer.outage.and_then(StoreOutage::age),
        },
    );
    crashes::apply_synced(core, positions.crashes, rows);
    rollouts::apply_pooled(core, answer.rollouts);
    let news = LimitNews {
        limits: answer.limits,
        brittle: answer.brittle,
    };
    core.permits.merge(news, core.clock.now());
    core.fleet.add_routers(answer.routers);
    if answer.has_full_list {
        core.fleet.confirm_list();
    }
    // A router that knows nothing of the upstreams has given no state of them: the next answer has it whole.
    position.source = match positions.upstreams {
        Some(_) => answer.source,
        None => String::new(),
    };
    position.revision = answer.revision;
    position.routers_revision = answer.routers_revision;
    Ok(())
}
