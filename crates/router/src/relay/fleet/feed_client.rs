//! Asking another router what it read of the store, and answering such questions.

use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::names::HostName;
use ferry_platform::store::KeyedRecord;
use tokio::time::{sleep, timeout};

use super::break_report::take_report;
use super::feed_message::{EvidenceRecord, FeedAnswer, FeedAsk, FeedChange, FeedChanges};
use super::peer_body;
use crate::peer::{self, PeerError, PeerMessage, PeerTopic};
use crate::relay::relay_core::SharedCore;
use crate::relay::rollouts;
use crate::relay::store_contact::StoreContact;
use crate::relay::watch;

/// Longest time for which an answer waits for a change.
const ANSWER_WAIT: Duration = Duration::from_millis(400);
/// Time after which an unanswered question counts as failed.
const ASK_LIMIT: Duration = Duration::from_millis(900);
/// Age of the rules from which on the answering router counts as out of touch.
const AGE_LIMIT: Duration = Duration::from_millis(1_300);
/// Part of the time in which a leaving upstream must be noticed that the entries' age may reach.
const LISTING_PART: f64 = 0.6;
/// Time after which a first question, whose answer holds everything, counts as failed.
const FIRST_ASK_LIMIT: Duration = Duration::from_secs(3);
/// Pause before a router that starts as well is asked again.
const START_PAUSE: Duration = Duration::from_millis(100);
/// Pause while there is nobody to ask.
const IDLE_PAUSE: Duration = Duration::from_millis(700);

/// Why this router reads the store for itself again.
#[derive(Debug, thiserror::Error)]
enum FeedError {
    #[error(transparent)]
    Peer(#[from] PeerError),
    #[error("its rules are {rules:?} old and its upstreams {listing:?}")]
    OutOfTouch {
        /// Age of the rules.
        rules: Duration,
        /// Age of the upstreams' entries.
        listing: Duration,
    },
    #[error("it waits for upstreams to come back after an outage")]
    Unsettled,
}

/// Position in another router's changes.
#[derive(Debug, Default)]
struct FeedPosition {
    source: String,
    revision: u64,
}

/// Asks while there is somebody to ask, until the relay closes.
pub async fn follow(core: SharedCore) {
    let mut position = FeedPosition::default();
    loop {
        let settings = core.settings.load_full();
        let feeder = core
            .fleet
            .feeder(&settings.host, &settings.zone, core.clock.now());
        let Some(feeder) = feeder else {
            core.fleet.set_fed(false);
            sleep(IDLE_PAUSE).await;
            continue;
        };
        match ask(&core, &feeder, &mut position).await {
            Ok(()) => {
                if core.fleet.set_fed(true) {
                    spdlog::info!("the store is read by another router", kv: { router = feeder.as_str() });
                }
            }
            Err(FeedError::OutOfTouch { .. } | FeedError::Unsettled)
                if !core.upstreams.is_listed() =>
            {
                // Both start, and the other one is to read first.
                sleep(START_PAUSE).await;
            }
            Err(error) => {
                core.fleet.note_failure(&feeder, core.clock.now());
                if core.fleet.set_fed(false) {
                    spdlog::info!("the store is read here again: {}", error, kv: { router = feeder.as_str() });
                }
            }
        }
    }
}

async fn ask(
    core: &SharedCore,
    feeder: &HostName,
    position: &mut FeedPosition,
) -> Result<(), FeedError> {
    let hub = core
        .fleet
        .hub()
        .ok_or_else(|| PeerError::NotConnected(feeder.clone()))?;
    let query = FeedAsk {
        source: position.source.clone(),
        revision: position.revision,
        evidence: rollouts::own_evidence(core),
    };
    let asked = StoreContact::now();
    let limit = if position.source.is_empty() {
        FIRST_ASK_LIMIT
    } else {
        ASK_LIMIT
    };
    let answer: FeedAnswer = timeout(limit, hub.ask(feeder, PeerTopic::Feed, &query, limit))
        .await
        .map_err(|_| PeerError::TimedOut(feeder.clone()))??;
    let rules = Duration::from_millis(answer.rules_age_ms);
    let listing = Duration::from_millis(answer.listing_age_ms);
    let listing_limit = core.settings.load().bounds.drain.mul_f64(LISTING_PART);
    if rules > AGE_LIMIT || listing > listing_limit {
        return Err(FeedError::OutOfTouch { rules, listing });
    }
    if answer.holds_missing {
        return Err(FeedError::Unsettled);
    }
    take(core, answer, position)?;
    core.contact.confirm(asked.saturating_sub(rules));
    core.listing.confirm(asked.saturating_sub(listing));
    Ok(())
}

fn take(
    core: &SharedCore,
    answer: FeedAnswer,
    position: &mut FeedPosition,
) -> Result<(), PeerError> {
    let (whole, changes) = match answer.changes {
        FeedChanges::Since(changes) => (false, changes),
        FeedChanges::Whole(changes) => (true, peer::decode(&changes)?),
    };
    let mut operator = Vec::new();
    let mut upstreams = Vec::new();
    let mut gone = Vec::new();
    for change in changes {
        match change {
            FeedChange::Operator { key, offset, value } => {
                operator.push(KeyedRecord { key, value, offset });
            }
            FeedChange::Upstream(record) => upstreams.push(*record),
            FeedChange::UpstreamGone(id) => gone.push(id),
        }
    }
    watch::apply_operator(core, operator);
    watch::apply_fed_upstreams(core, whole, upstreams, &gone);
    rollouts::apply_pooled(core, answer.rollouts);
    position.source = answer.source;
    position.revision = answer.revision;
    Ok(())
}

/// Answers a message of another router.
pub async fn answer_peer(core: &SharedCore, message: PeerMessage) -> Option<Bytes> {
    match message.topic {
        PeerTopic::Feed => answer_ask(core, message).await,
        PeerTopic::Quarantine => take_report(core, &message),
        _ => None,
    }
}

async fn answer_ask(core: &SharedCore, message: PeerMessage) -> Option<Bytes> {
    let query: FeedAsk = peer_body::read(&message, "question")?;
    take_evidence(core, query.evidence);
    let mut revisions = core.fleet.feed.subscribe();
    let behind =
        query.source != core.fleet.feed.life() || *revisions.borrow_and_update() > query.revision;
    if !behind {
        let _ = timeout(ANSWER_WAIT, revisions.changed()).await;
    }
    let (revision, changes) = core.fleet.feed.changes_since(&query.source, query.revision);
    let answer = FeedAnswer {
        source: core.fleet.feed.life().to_owned(),
        revision,
        changes,
        rules_age_ms: core.contact.age().as_millis() as u64,
        listing_age_ms: core.listing.age().as_millis() as u64,
        holds_missing: core.roster.lock().holds_missing(),
        rollouts: rollouts::pooled_rollouts(core),
    };
    peer_body::write(&answer, "an answer to a router")
}

fn take_evidence(core: &SharedCore, records: Vec<EvidenceRecord>) {
    let now = core.clock.now();
    for record in records {
        core.rollouts.with(&record.service, |rollout| {
            if rollout.offset == record.order {
                rollout.merge_client_row(record.row, now);
            }
        });
    }
}
