//! Task that syncs from other routers, and the probes of the store while none of them has recent content.

use std::time::Duration;

use ferry_decisions::names::HostName;
use ferry_decisions::sync::{SourceList, SyncOutcome};
use ferry_platform::store::OPERATOR_TOPIC;
use futures::future::join_all;
use tokio::time::sleep;

use super::feed_position::FeedPositionMap;
use super::feed_query::{FeedError, QueryUrgency, ask_source};
use crate::relay::relay_core::SharedCore;
use crate::relay::watch::{self, TopicReader};

/// Period of the checks for a sync source while there is none.
const SOURCE_CHECK_PERIOD: Duration = Duration::from_millis(350);
/// Delay between two rounds of queries while no source has recent content, and its maximum after rounds without one.
const MIN_ROUND_DELAY: Duration = Duration::from_millis(100);
const MAX_ROUND_DELAY: Duration = Duration::from_millis(400);
/// Period of the checks whether the store is to be probed.
const PROBE_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Syncs from other routers while there is a source, until the relay closes.
pub async fn follow(core: SharedCore) {
    let mut positions = FeedPositionMap::default();
    let mut delay = MIN_ROUND_DELAY;
    core.fleet.wait_until_listed().await;
    loop {
        let sources = core.fleet.next_sources(core.clock.now());
        if sources.is_empty() {
            sleep(SOURCE_CHECK_PERIOD).await;
            continue;
        }
        if sync_round(&core, &sources, &mut positions).await {
            delay = MIN_ROUND_DELAY;
        } else {
            sleep(delay).await;
            delay = (delay * 2).min(MAX_ROUND_DELAY);
        }
    }
}

/// Asks all of `sources`; returns whether one of them has recent content.
async fn sync_round(
    core: &SharedCore,
    sources: &SourceList,
    positions: &mut FeedPositionMap,
) -> bool {
    let proven = core.fleet.sync_source();
    let queries = sources.iter().map(|source| {
        let urgency = match proven.as_ref() == Some(source) {
            true => QueryUrgency::Waits,
            false => QueryUrgency::AtOnce,
        };
        let position = positions.take(source);
        async move {
            let result = ask_source(core, source, position, urgency).await;
            (source, result)
        }
    });
    let mut is_recent = false;
    for (source, (position, result)) in join_all(queries).await {
        positions.put(source, position);
        is_recent |= result.is_ok();
        record_result(core, source, &result);
    }
    is_recent
}

fn record_result(core: &SharedCore, source: &HostName, result: &Result<(), FeedError>) {
    let now = core.clock.now();
    let outcome = match result {
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
