//! Answers to the feed requests of other routers.

use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::names::HostName;
use ferry_decisions::quarantine::RowOrigin;
use tokio::time::timeout;

use super::feed_message::{
    EvidenceRecord, FeedAnswer, FeedChange, FeedChanges, FeedQuery, StoreOutage,
};
use super::operator_records::KnownRecords;
use super::peer_body;
use crate::peer::{PeerMessage, PeerTopic};
use crate::relay::crashes;
use crate::relay::evacuation;
use crate::relay::paths;
use crate::relay::permits::{self, LimitNews};
use crate::relay::relay_core::SharedCore;
use crate::relay::rollouts;
use crate::relay::watch;
use crate::relay::workload;

/// Size from which on an answer is logged, in bytes.
const LOGGED_BYTES: usize = 64 * 1024;
/// Longest time for which an answer waits for a change.
const ANSWER_WAIT: Duration = Duration::from_millis(400);

/// Answers a message of another router; `None` leaves it unanswered.
pub async fn answer_peer(core: &SharedCore, message: PeerMessage) -> Option<Bytes> {
    match message.topic {
        PeerTopic::Feed => answer_query(core, message).await,
        PeerTopic::Quarantine => crashes::answer_report(core, &message),
        PeerTopic::Permits => permits::answer_query(core, &message),
        PeerTopic::Config => watch::answer_rules_query(core, &message),
        PeerTopic::Paths => paths::answer_message(core, &message).await,
        PeerTopic::Load => workload::answer_query(core, &message),
        _ => None,
    }
}

async fn answer_query(core: &SharedCore, message: PeerMessage) -> Option<Bytes> {
    let mut query: FeedQuery = peer_body::read(&message, "feed request")?;
    let known = KnownRecords {
        era: query.known_era,
        offsets: query.known.take()?,
    };
    core.operator_topic
        .hear(&message.from, query.rules_revision);
    merge_evidence(core, std::mem::take(&mut query.evidence));
    core.crashes.merge(query.crashes.clone(), RowOrigin::Router);
    let news = LimitNews {
        limits: std::mem::take(&mut query.limits),
        brittle: std::mem::take(&mut query.brittle),
    };
    core.permits.merge(news, core.clock.now());
    core.fleet
        .add_routers(query.entry.take().into_iter().collect());
    wait_for_change(core, &query, &known).await;
    let answer = build_answer(core, &query, &known);
    let content = AnswerContent::of(&answer);
    let body = peer_body::write(&answer, "an answer to a router")?;
    metrics::histogram!("ferry_feed_answer_bytes").record(body.len() as f64);
    if body.len() >= LOGGED_BYTES {
        content.log(&message.from, body.len());
    }
    Some(body)
}

/// Numbers of changes in an answer, for the log.
struct AnswerContent {
    is_whole: bool,
    upstreams: usize,
    crashes: usize,
    records: usize,
}

impl AnswerContent {
    fn of(answer: &FeedAnswer) -> Self {
        let changes: &[FeedChange] = match &answer.changes {
            FeedChanges::Since(changes) => changes,
            FeedChanges::Whole(_) => &[],
        };
        let crashes = changes
            .iter()
            .filter(|change| matches!(change, FeedChange::Crashes(_)))
            .count();
        Self {
            is_whole: matches!(answer.changes, FeedChanges::Whole(_)),
            upstreams: changes.len() - crashes,
            crashes,
            records: answer.operator.len(),
        }
    }

    fn log(&self, router: &HostName, bytes: usize) {
        spdlog::info!("large answer to a router", kv: {
            router = router.as_str(),
            bytes = bytes,
            whole = self.is_whole,
            upstreams = self.upstreams,
            crashes = self.crashes,
            records = self.records,
        });
    }
}

/// Waits a moment for a change that the requesting router lacks.
async fn wait_for_change(core: &SharedCore, query: &FeedQuery, known: &KnownRecords) {
    let mut revisions = core.fleet.feed.subscribe();
    let is_behind = query.source != core.fleet.feed.incarnation()
        || *revisions.borrow_and_update() > query.revision
        || core.fleet.feed.has_news(known);
    if is_behind || query.at_once {
        return;
    }
    // The answer goes out with or without a change.
    let _ = timeout(ANSWER_WAIT, revisions.changed()).await;
}

fn build_answer(core: &SharedCore, query: &FeedQuery, known: &KnownRecords) -> FeedAnswer {
    // Taken before the changes, which therefore contain all that they state.
    let mut positions = core.topic_positions();
    let rules_age = core.operator_topic.age_for_others();
    let listing_age = core.upstream_topic.age();
    let feed = &core.fleet.feed;
    let (revision, mut changes) =
        feed.changes_since(&query.source, query.revision, core.clock.now());
    if let FeedChanges::Since(changes) = &mut changes
        && !query.crashes.is_empty()
    {
        // Tells the requesting router, of an older build, that they are stored, so that it does not send them again.
        let stored = core.crashes.stored_of(&query.crashes).into_iter();
        changes.extend(stored.map(|row| FeedChange::Crashes(Box::new(row))));
    }
    let is_same = query.source == feed.incarnation();
    let routers_revision = if is_same { query.routers_revision } else { 0 };
    let (routers, routers_revision) = core.fleet.router_changes(routers_revision);
    let now = core.clock.now();
    let registry = core.registry.lock();
    let ended_ms = registry.outage_age(now).map(|age| age.as_millis() as u64);
    let holds_missing = registry.holds_missing();
    drop(registry);
    let news = core.permits.news(now);
    let era = positions.operator.unwrap_or_default().era;
    let recent = evacuation::state_recent(core);
    let records = feed.record_patches(era, known);
    // A router that gets no records must not take the position for its own.
    positions.operator = positions.operator.filter(|_| records.is_some());
    FeedAnswer {
        source: feed.incarnation().to_owned(),
        revision,
        changes,
        operator: records.unwrap_or_default(),
        positions: positions.into(),
        rules_revision: core.revision_in_force(),
        rules_age_ms: rules_age.as_millis() as u64,
        listing_age_ms: listing_age.as_millis() as u64,
        holds_missing,
        rollouts: rollouts::pooled_rollouts(core, &query.ongoing),
        limits: news.limits,
        brittle: news.brittle,
        routers,
        routers_revision,
        has_full_list: core.fleet.confirmed_count().is_some(),
        origin: core.fleet.origin(),
        outage: Some(StoreOutage { ended_ms }),
        kept_evacuations: core.evacuations.all_kept(now),
        recent_evacuations: recent.evacuations,
        states_recent: recent.is_stated,
    }
}

fn merge_evidence(core: &SharedCore, records: Vec<EvidenceRecord>) {
    let now = core.clock.now();
    for record in records {
        core.rollouts.with(&record.service, |rollout| {
            if rollout.offset() == record.order {
                rollout.merge_client_row(record.row, now);
            }
        });
    }
}
