//! Task that syncs from other routers, and the probes of the store while none of them has recent content.

use std::time::Duration;

use ferry_decisions::names::HostName;
use ferry_decisions::sync::SyncOutcome;
use ferry_platform::store::OPERATOR_TOPIC;
use tokio::time::{Instant, sleep, timeout_at};

use super::feed_query::FeedError;
use super::source_queries::SourceQueries;
use crate::relay::relay_core::SharedCore;
use crate::relay::watch::{self, TopicReader};

/// Period of the checks for further sync sources, also while queries to others are in progress.
const SOURCE_CHECK_PERIOD: Duration = Duration::from_millis(350);
/// Delay between two queries while no source has recent content, and its maximum after several.
const MIN_QUERY_DELAY: Duration = Duration::from_millis(100);
const MAX_QUERY_DELAY: Duration = Duration::from_millis(400);
/// Period of the checks whether the store is to be probed.
const PROBE_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Syncs from other routers while there is a source, until the relay closes.
///
/// Each source is asked again as soon as it has answered: one that doesn't answer holds up no other.
pub async fn follow(core: SharedCore) {
    let mut queries = SourceQueries::default();
    let mut delay = MIN_QUERY_DELAY;
    core.fleet.wait_until_listed().await;
    let mut next_begin = Instant::now();
    loop {
        if next_begin <= Instant::now() {
            let sources = core.fleet.next_sources(core.clock.now());
            queries.begin(&core, &sources);
            next_begin = Instant::now() + SOURCE_CHECK_PERIOD;
        }
        let Ok((source, result)) = timeout_at(next_begin, queries.next()).await else {
            continue;
        };
        let was_synced_from = core.fleet.sync_source().as_ref() == Some(&source);
        record_result(&core, &source, &result);
        next_begin = Instant::now();
        if result.is_ok() {
            delay = MIN_QUERY_DELAY;
        } else if core.fleet.sync_source().is_none() && !was_synced_from {
            next_begin += delay;
            delay = (delay * 2).min(MAX_QUERY_DELAY);
        }
    }
}

fn record_result(core: &SharedCore, source: &HostName, result: &Result<(), FeedError>) {
    let now = core.clock.now();
    let outcome = match result {
        // A nearer source has answered meanwhile; what this one gave is applied.
        Ok(()) if core.fleet.is_superseded(source, now) => return,
        Ok(()) => SyncOutcome::Recent,
        Err(FeedError::NoLinks) => {
            core.fleet.record_lack(now);
            return;
        }
        Err(FeedError::OwnReads) => SyncOutcome::OwnReads,
        Err(FeedError::Outdated { .. } | FeedError::MissingUpstreams) => SyncOutcome::Outdated,
        Err(FeedError::Peer(_) | FeedError::Record(_)) => SyncOutcome::Failed,
    };
    if let Err(error) = result {
        log_failure(core, source, error);
    }
    core.fleet.record_sync(source, outcome, now);
}

/// Logs why a query gave no recent content; visibly if this router synced from that one so far.
fn log_failure(core: &SharedCore, source: &HostName, error: &FeedError) {
    if core.fleet.sync_source().as_ref() != Some(source) {
        spdlog::debug!("no recent content from another router: {}", error, kv: { router = source.as_str() });
        return;
    }
    spdlog::info!("no recent content any more from the router that this one synced from: {}", error, kv: {
        router = source.as_str(),
        revision = core.revision_in_force().unwrap_or_default(),
        rules_age_ms = core.operator_topic.age().as_millis() as u64,
    });
}

/// Reads the store once when that is due although this router is no reader, until the relay closes.
pub async fn probe_store(core: SharedCore) {
    let reader = TopicReader::new(core.store.clone(), OPERATOR_TOPIC);
    loop {
        core.fleet
            .wait_until(|state| !state.is_reader && !state.is_synced)
            .await;
        sleep(PROBE_CHECK_PERIOD).await;
        let now = core.clock.now();
        let is_due = core.fleet.next_probe(now).is_some_and(|at| at <= now);
        if !is_due || core.fleet.sync_state().is_reader {
            continue;
        }
        core.fleet.record_probe(now);
        match watch::read_operator(&core, &reader, Duration::ZERO).await {
            Ok(()) => core.fleet.begin_reading(core.clock.now()),
            Err(error) => spdlog::debug!("the store cannot be read: {}", error),
        }
    }
}
