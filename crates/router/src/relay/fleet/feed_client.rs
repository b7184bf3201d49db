//! Both sides of the feed: syncs from another router what it read from the store, and answers the
//! feed requests of other routers.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::names::HostName;
use ferry_decisions::quarantine::RowOrigin;
use ferry_decisions::time::MonotonicTime;
use ferry_platform::store::KeyedRecord;
use tokio::time::{sleep, timeout};

use super::feed_message::{
    EvidenceRecord, FeedAnswer, FeedChange, FeedChanges, FeedPositions, FeedQuery,
};
use super::operator_records::KnownOffsets;
use super::peer_body;
use super::record_patch::RecordPatch;
use crate::peer::{self, PeerError, PeerMessage, PeerTopic};
use crate::relay::confirmation_time::ConfirmationTime;
use crate::relay::crashes;
use crate::relay::paths;
use crate::relay::permits;
use crate::relay::relay_core::SharedCore;
use crate::relay::rollouts;
use crate::relay::watch;

/// Longest time for which an answer to a feed request waits for a change.
const ANSWER_WAIT: Duration = Duration::from_millis(400);
/// Timeout of a feed request.
const QUERY_TIMEOUT: Duration = Duration::from_millis(900);
/// Highest age of the sync source's rules; a router with older rules counts as having no contact with
/// the store.
const MAX_SOURCE_RULES_AGE: Duration = Duration::from_millis(1_300);
/// Highest age of the sync source's upstream entries, as a fraction of the time in which a
/// draining upstream must be noticed.
const MAX_LISTING_AGE_FRACTION: f64 = 0.6;
/// Timeout of the first feed request, which is longer because its answer holds the full state.
const FIRST_QUERY_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before the next feed request to a sync source that is also starting.
const START_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Period of the checks for a sync source while there is none.
const SOURCE_CHECK_PERIOD: Duration = Duration::from_millis(350);
/// Age of the rules above which a router that reads the store counts as unable to.
const MAX_READ_AGE: Duration = Duration::from_millis(900);
/// Time for which a substitute is used before the store is tried again.
const SUBSTITUTE_TIME: Duration = Duration::from_secs(3);

/// Why a sync failed; this router then reads the store itself.
#[derive(Debug, thiserror::Error)]
enum FeedError {
    #[error(transparent)]
    Peer(#[from] PeerError),
    #[error("that router's rules are {rules:?} old and its upstream entries {listing:?} old")]
    Outdated {
        /// Age of the rules.
        rules: Duration,
        /// Age of the upstreams' entries.
        listing: Duration,
    },
    #[error("a record of the operator cannot be restored: {0}")]
    Record(io::Error),
    #[error("that router still lists upstreams whose entries are missing since a store outage")]
    MissingUpstreams,
}

/// Position in the changes of a sync source.
#[derive(Debug, Default)]
struct FeedPosition {
    source: String,
    revision: u64,
    /// Whether the last answer had a difference to a record that is not kept here, so that the records are needed whole.
    needs_whole_records: bool,
}

/// Syncs from another router while there is a sync source, until the relay closes.
pub async fn follow(core: SharedCore) {
    let mut position = FeedPosition::default();
    let mut substitute_since = None;
    loop {
        let Some(sync_source) = choose_source(&core, &mut substitute_since) else {
            core.fleet.set_synced_from_peer(false);
            sleep(SOURCE_CHECK_PERIOD).await;
            continue;
        };
        match sync(&core, &sync_source, &mut position).await {
            Ok(()) => {
                if core.fleet.set_synced_from_peer(true) {
                    spdlog::info!("the store is read by another router", kv: { router = sync_source.as_str() });
                }
            }
            Err(FeedError::Outdated { .. } | FeedError::MissingUpstreams)
                if !core.upstreams.is_listed() =>
            {
                // Both routers are starting: waits until the other one has read the store.
                sleep(START_RETRY_DELAY).await;
            }
            Err(error) => {
                core.fleet.record_failure(&sync_source, core.clock.now());
                if core.fleet.set_synced_from_peer(false) {
                    spdlog::info!("the store is read here again: {}", error, kv: { router = sync_source.as_str() });
                }
            }
        }
    }
}

/// The sync source, or a substitute while there is none and the store cannot be read here. A substitute is used for a limited time; then the
/// store is tried again.
fn choose_source(
    core: &SharedCore,
    substitute_since: &mut Option<MonotonicTime>,
) -> Option<HostName> {
    let (settings, now) = (core.settings.load_full(), core.clock.now());
    let sync_source = core.fleet.sync_source(&settings, now);
    if sync_source.is_some() {
        *substitute_since = None;
        return sync_source;
    }
    let is_due = match *substitute_since {
        Some(since) => now.since(since) < SUBSTITUTE_TIME,
        None => core.operator_topic.age() > MAX_READ_AGE,
    };
    if !is_due {
        *substitute_since = None;
        return None;
    }
    let substitute = core.fleet.substitute_source(&settings, now);
    *substitute_since = substitute
        .is_some()
        .then(|| substitute_since.unwrap_or(now));
    substitute
}

async fn sync(
    core: &SharedCore,
    sync_source: &HostName,
    position: &mut FeedPosition,
) -> Result<(), FeedError> {
    let hub = core
        .fleet
        .hub()
        .ok_or_else(|| PeerError::NotConnected(sync_source.clone()))?;
    let query = FeedQuery {
        source: position.source.clone(),
        revision: position.revision,
        known: Some(known_records(core, position)),
        evidence: rollouts::own_evidence(core),
        crashes: core.crashes.unstored(),
        limits: core.permits.notices(core.clock.now()),
    };
    let requested_at = ConfirmationTime::now();
    let limit = if position.source.is_empty() {
        FIRST_QUERY_TIMEOUT
    } else {
        QUERY_TIMEOUT
    };
    let answer: FeedAnswer = timeout(
        limit,
        hub.send_query(sync_source, PeerTopic::Feed, &query, limit),
    )
    .await
    .map_err(|_| PeerError::TimedOut(sync_source.clone()))??;
    let rules = Duration::from_millis(answer.rules_age_ms);
    let listing = Duration::from_millis(answer.listing_age_ms);
    let listing_limit = core
        .settings
        .load()
        .bounds
        .drain
        .mul_f64(MAX_LISTING_AGE_FRACTION);
    if rules > MAX_SOURCE_RULES_AGE || listing > listing_limit {
        return Err(FeedError::Outdated { rules, listing });
    }
    if answer.holds_missing {
        return Err(FeedError::MissingUpstreams);
    }
    apply_answer(core, answer, position)?;
    core.operator_topic
        .confirm(requested_at.saturating_sub(rules));
    core.upstream_topic
        .confirm(requested_at.saturating_sub(listing));
    Ok(())
}

/// Offsets of the operator's records to which the next answer may hold differences.
fn known_records(core: &SharedCore, position: &FeedPosition) -> KnownOffsets {
    match position.needs_whole_records {
        true => KnownOffsets::new(),
        false => core.fleet.feed.known_records(),
    }
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

fn apply_answer(
    core: &SharedCore,
    answer: FeedAnswer,
    position: &mut FeedPosition,
) -> Result<(), FeedError> {
    let (whole, changes) = match answer.changes {
        FeedChanges::Since(changes) => (false, changes),
        FeedChanges::Whole(changes) => (true, peer::decode(&changes)?),
    };
    let mut operator = restore_records(core, &answer.operator, position)?;
    let mut upstreams = Vec::new();
    let mut gone = Vec::new();
    let mut rows = Vec::new();
    for change in changes {
        match change {
            FeedChange::Operator { key, offset, value } => {
                operator.push(KeyedRecord { key, value, offset });
            }
            FeedChange::Upstream(record) => upstreams.push(*record),
            FeedChange::UpstreamGone(id) => gone.push(id),
            FeedChange::Crashes(row) => rows.push(*row),
        }
    }
    let positions = answer.positions;
    watch::apply_synced_operator(core, positions.operator, operator);
    watch::apply_synced_upstreams(core, positions.upstreams, whole, upstreams, &gone);
    crashes::apply_stored(core, rows);
    // A router of an older build sends the rows without their position.
    core.crash_topic.advance(positions.crashes.unwrap_or(0));
    rollouts::apply_pooled(core, answer.rollouts);
    core.permits.merge(&answer.limits, core.clock.now());
    position.source = answer.source;
    position.revision = answer.revision;
    Ok(())
}

/// Answers a message of another router; `None` leaves it unanswered.
pub async fn answer_peer(core: &SharedCore, message: PeerMessage) -> Option<Bytes> {
    match message.topic {
        PeerTopic::Feed => answer_query(core, message).await,
        PeerTopic::Quarantine => crashes::answer_report(core, &message),
        PeerTopic::Permits => permits::answer_query(core, &message),
        PeerTopic::Paths => paths::answer_message(core, &message).await,
        _ => None,
    }
}

async fn answer_query(core: &SharedCore, message: PeerMessage) -> Option<Bytes> {
    let query: FeedQuery = peer_body::read(&message, "feed request")?;
    let known = query.known?;
    merge_evidence(core, query.evidence);
    core.crashes.merge(query.crashes, RowOrigin::Router);
    core.permits.merge(&query.limits, core.clock.now());
    let mut revisions = core.fleet.feed.subscribe();
    let behind = query.source != core.fleet.feed.incarnation()
        || *revisions.borrow_and_update() > query.revision
        || core.fleet.feed.has_news(&known);
    if !behind {
        let _ = timeout(ANSWER_WAIT, revisions.changed()).await;
    }
    // Taken before the changes, which therefore contain all that they state.
    let positions = FeedPositions {
        operator: core.operator_topic.position(),
        upstreams: core.upstream_topic.position(),
        crashes: core.crash_topic.position(),
    };
    let (rules_age, listing_age) = (core.operator_topic.age(), core.upstream_topic.age());
    let (revision, changes) = core.fleet.feed.changes_since(&query.source, query.revision);
    let answer = FeedAnswer {
        source: core.fleet.feed.incarnation().to_owned(),
        revision,
        changes,
        operator: core.fleet.feed.record_patches(&known),
        positions,
        rules_age_ms: rules_age.as_millis() as u64,
        listing_age_ms: listing_age.as_millis() as u64,
        holds_missing: core.registry.lock().holds_missing(),
        rollouts: rollouts::pooled_rollouts(core),
        limits: core.permits.notices(core.clock.now()),
    };
    peer_body::write(&answer, "an answer to a router")
}

fn merge_evidence(core: &SharedCore, records: Vec<EvidenceRecord>) {
    let now = core.clock.now();
    for record in records {
        core.rollouts.with(&record.service, |rollout| {
            if rollout.offset == record.order {
                rollout.merge_client_row(record.row, now);
            }
        });
    }
}
