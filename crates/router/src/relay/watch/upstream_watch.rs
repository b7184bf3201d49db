//! Follows the topic of the upstreams' entries.

use std::collections::HashSet;
use std::time::Duration;

use ferry_decisions::names::HostName;
use ferry_decisions::registry::{RegistryChange, UpstreamRecord, UpstreamRegistry};
use ferry_kernel::ticks;
use ferry_platform::entries::decode_upstream;
use ferry_platform::store::{KeyedRecord, TopicPartition, UPSTREAM_TOPIC};
use tokio::time::sleep;

use super::OutageLog;
use super::topic_reader::{TopicChanges, TopicReader};
use crate::relay::confirmation_time::ConfirmationTime;
use crate::relay::relay_core::SharedCore;

/// Number of reads within the time in which a draining upstream must be noticed.
const READS_PER_DRAIN: u32 = 3;
/// Partition of the upstreams' entries.
const UPSTREAMS: TopicPartition<'static> = TopicPartition::only(UPSTREAM_TOPIC);
/// Time for which a starting router waits to sync from another one when there are many upstreams.
const START_SYNC_TIMEOUT: Duration = Duration::from_secs(6);
/// Period of the checks whether a starting router has begun to sync from another one.
const START_CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Number of read periods without a confirmation after which the store counts as having been
/// unavailable.
const OUTAGE_READS: u32 = 3;

/// Follows the upstreams' topic until the relay closes.
pub async fn follow(core: SharedCore) {
    let reader = TopicReader::new(core.store.clone(), UPSTREAM_TOPIC);
    let period = core.settings.load().bounds.drain / READS_PER_DRAIN;
    let mut ticks = ticks::every(period);
    let mut outages = OutageLog::new(
        "the upstreams' topic cannot be read",
        "the upstreams' topic is read again",
    );
    wait_for_sync(&core).await;
    let mut is_behind = false;
    loop {
        if !is_behind {
            ticks.tick().await;
        }
        core.fleet.wait_until_unsynced().await;
        let requested_at = ConfirmationTime::now();
        let known_keys = core.registry.lock().len();
        let next = reader.next(&core.upstream_topic, known_keys, Duration::ZERO);
        let changes = match next.await {
            Ok(changes) => changes,
            Err(error) => {
                outages.record_failure(&error);
                is_behind = false;
                continue;
            }
        };
        outages.record_success();
        let now = core.clock.now();
        // Before the first list there is no entry that an outage could have removed.
        let had_outage = !is_behind
            && core.upstreams.is_listed()
            && core.upstream_topic.age() > period * OUTAGE_READS;
        is_behind = !changes.reaches_end;
        let mut registry = core.registry.lock();
        if had_outage {
            registry.record_store_recovery(now);
        }
        let changed = apply(&core, &mut registry, changes);
        let expired = registry.expire(now.after(period));
        if changed || expired || !core.upstreams.is_listed() {
            publish(&core, &registry);
        }
        if !is_behind {
            core.upstream_topic.confirm(requested_at);
        }
    }
}

/// Waits a limited time to sync from another router if the entries fill more than one page of the
/// store: a fleet whose routers all start together would request more than the store can send.
async fn wait_for_sync(core: &SharedCore) {
    let first = core.store.newest(UPSTREAMS, None).await;
    if !first.is_ok_and(|page| page.has_more) {
        return;
    }
    let started_at = core.clock.now();
    while core.clock.now().since(started_at) < START_SYNC_TIMEOUT && may_sync(core) {
        if core.fleet.is_synced_from_peer() {
            break;
        }
        sleep(START_CHECK_PERIOD).await;
    }
    spdlog::info!("many upstreams; waited at the start to sync from another router", kv: {
        fed = core.fleet.is_synced_from_peer(),
        waited_ms = core.clock.now().since(started_at).as_millis() as u64,
    });
}

/// Whether there is another router to sync from, or this one has not listed the routers yet.
fn may_sync(core: &SharedCore) -> bool {
    let settings = core.settings.load();
    let sync_source = core.fleet.sync_source(&settings, core.clock.now());
    !core.fleet.is_listed() || sync_source.is_some()
}

/// Applies upstreams received from another router, which knows the topic up to `position`: changes, or all upstreams if `whole` is
/// set. Older ones than those known here are ignored, unless entries are missing here since an outage.
pub fn apply_synced(
    core: &SharedCore,
    position: Option<u64>,
    whole: bool,
    records: Vec<UpstreamRecord>,
    gone: &[HostName],
) {
    let mut registry = core.registry.lock();
    if core.upstream_topic.is_beyond(position) && !registry.holds_missing() {
        return;
    }
    if let Some(position) = position {
        core.upstream_topic.advance(position);
    }
    if !whole && records.is_empty() && gone.is_empty() {
        return;
    }
    if whole {
        let listed: HashSet<HostName> = records.iter().map(|r| r.incarnation.id.clone()).collect();
        registry.forget_unlisted(|id| listed.contains(id));
    }
    for record in records {
        let (id, change) = (record.incarnation.id.clone(), registry.observe(record));
        log_change(&id, change);
    }
    for id in gone {
        log_change(id, registry.forget(id.as_str()));
    }
    publish(core, &registry);
}

/// Updates the directory that requests use, and the feed for the routers that sync from this one.
fn publish(core: &SharedCore, registry: &UpstreamRegistry) {
    for replaced in core.upstreams.update(registry.upstreams()) {
        let incarnation = &replaced.record.incarnation;
        for end in replaced.take_crashed_ends() {
            let parts = end.parts.iter().copied();
            let verdict = core.crashes.record(end.request, parts, incarnation);
            spdlog::info!("upstream ended with the answer to a request", kv: {
                fingerprint = end.request.to_string(),
                upstream = replaced.id(),
                counted = verdict.crashed,
            });
        }
    }
    core.fleet.feed.put_upstreams(registry.upstreams());
    core.permits
        .retain_listed(|upstream| registry.is_known(upstream));
}

fn log_change(upstream: &HostName, change: RegistryChange) {
    if change != RegistryChange::None {
        spdlog::info!("upstream", kv: { upstream = upstream.as_str(), change:? = change });
    }
}

/// Applies changes of the topic to the registry, unless it has newer ones; returns whether one of them affects requests.
fn apply(core: &SharedCore, registry: &mut UpstreamRegistry, changes: TopicChanges) -> bool {
    if core.upstream_topic.is_beyond(Some(changes.position)) {
        return false;
    }
    core.upstream_topic.advance(changes.position);
    let now = core.clock.now();
    let mut changed = changes.whole;
    if changes.whole {
        let listed: HashSet<HostName> = changes
            .records
            .iter()
            .map(|record| record.key.as_str().into())
            .collect();
        registry.retain_listed(|id| listed.contains(id), now);
    }
    for KeyedRecord { key, value, .. } in changes.records {
        let change = match value.map(|value| decode_upstream(&key, &value)) {
            Some(Ok(record)) => registry.observe(record),
            Some(Err(error)) => {
                spdlog::warn!("invalid upstream entry ignored: {}", error, kv: { upstream = key.as_str() });
                registry.observe_malformed(&key)
            }
            None => registry.observe_removed(&key, now),
        };
        log_change(&key.as_str().into(), change);
        changed |= change != RegistryChange::None;
    }
    changed
}
