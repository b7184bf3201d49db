//! Follows the topic of the upstreams' entries.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use ferry_decisions::names::HostName;
use ferry_decisions::registry::{LeftUpstream, RegistryChange, UpstreamRecord, UpstreamRegistry};
use ferry_decisions::time::MonotonicTime;
use ferry_decisions::topic::TopicPosition;
use ferry_kernel::ticks;
use ferry_platform::entries::decode_upstream;
use ferry_platform::store::{KeyedRecord, UPSTREAM_TOPIC};

use super::topic_reader::{TopicChanges, TopicReader};
use super::{OutageLog, UnreadableLog, UnreadableRecord};
use crate::relay::confirmation_time::ConfirmationTime;
use crate::relay::permits::{count_brittle_end, record_cold_entry};
use crate::relay::relay_core::SharedCore;

/// Number of reads within the time in which a draining upstream must be noticed.
const READS_PER_DRAIN: u32 = 3;
/// Number of read periods without a confirmation after which the store counts as having been
/// unavailable.
const OUTAGE_READS: u32 = 3;

/// Time between two reads of the upstreams' entries.
pub fn read_period(core: &SharedCore) -> Duration {
    core.settings.load().bounds.drain / READS_PER_DRAIN
}

/// Follows the upstreams' topic while this router reads the store, until the relay closes.
pub async fn follow(core: SharedCore) {
    let reader = TopicReader::new(core.store.clone(), UPSTREAM_TOPIC);
    let period = read_period(&core);
    let mut ticks = ticks::every(period);
    let mut outages = OutageLog::new(
        "the upstreams' topic cannot be read",
        "the upstreams' topic is read again",
    );
    let mut unreadable = UnreadableLog::new("invalid upstream entry ignored");
    let mut is_behind = false;
    loop {
        if !is_behind && !core.fleet.sync_state().is_reader {
            core.fleet.wait_until_reader().await;
            ticks.reset_immediately();
        }
        if !is_behind {
            ticks.tick().await;
        }
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
        core.fleet.record_upstream_read(core.clock.now());
        let had_outage = !is_behind && had_outage(&core);
        is_behind = !changes.reaches_end;
        let now = core.clock.now();
        let mut registry = core.registry.lock();
        if had_outage {
            registry.record_store_recovery(now);
        }
        let position = changes.position;
        let changed = apply(&core, &mut registry, changes, &mut unreadable);
        let expired = registry.expire(now.after(period));
        if changed || expired || !core.upstreams.is_listed() {
            publish(&core, &registry);
        }
        // Stated to other routers only from now on, when they get the entries before it too.
        core.upstream_topic.advance(position);
        drop(registry);
        if !is_behind {
            core.upstream_topic.confirm(position.era, requested_at);
        }
    }
}

/// Whether the entries were not confirmed for so long that the store counts as having been unavailable.
fn had_outage(core: &SharedCore) -> bool {
    // Before the first list there is no entry that an outage could have removed.
    core.upstreams.is_listed() && core.upstream_topic.age() > read_period(core) * OUTAGE_READS
}

/// Upstreams received from another router.
#[derive(Debug)]
pub struct SyncedUpstreams {
    /// How far that router knows the topic; absent if it knows nothing of it.
    pub position: Option<TopicPosition>,
    /// Whether `changes` holds all upstreams.
    pub is_whole: bool,
    /// Newest entry of each upstream that changed; absent for one that is gone.
    pub changes: BTreeMap<HostName, Option<UpstreamRecord>>,
    /// Time since the last outage of the store as that router saw it; absent if it saw none.
    pub outage_age: Option<Duration>,
}

/// Applies upstreams received from another router. Older ones than those known here are ignored.
pub fn apply_synced(core: &SharedCore, synced: SyncedUpstreams) {
    let Some(position) = synced.position else {
        return;
    };
    let had_outage = had_outage(core);
    let now = core.clock.now();
    let mut registry = core.registry.lock();
    if let Some(age) = synced.outage_age.filter(|_| had_outage) {
        registry.record_store_recovery(now.before(age));
    }
    let mut changed = registry.expire(now);
    if !core.upstream_topic.is_beyond(Some(position)) {
        enter_era(core, &mut registry, position, now);
        changed |= synced.is_whole || !synced.changes.is_empty();
        apply_changes(core, &mut registry, synced, now);
    }
    if changed {
        publish(core, &registry);
    }
    // Stated to other routers only from now on, when they get the entries before it too.
    core.upstream_topic.advance(position);
}

fn apply_changes(
    core: &SharedCore,
    registry: &mut UpstreamRegistry,
    synced: SyncedUpstreams,
    now: MonotonicTime,
) {
    let SyncedUpstreams {
        is_whole, changes, ..
    } = synced;
    if is_whole {
        let is_listed = |id: &HostName| changes.get(id).is_some_and(Option::is_some);
        registry.retain_listed(is_listed, now);
    }
    for (id, record) in changes {
        let change = match record {
            Some(record) => {
                record_cold_entry(core, &record, now);
                registry.observe(record)
            }
            None => registry.observe_removed(id.as_str(), now),
        };
        log_change(&id, change);
    }
}

/// Applies what another router knows of upstreams that left.
pub(super) fn apply_left(core: &SharedCore, left: Vec<LeftUpstream>) {
    let mut registry = core.registry.lock();
    let mut changed = false;
    for left in left {
        let id = left.incarnation.id.clone();
        let change = registry.observe_left(left);
        log_change(&id, change);
        changed |= change != RegistryChange::None;
    }
    if changed {
        publish(core, &registry);
    }
}

/// Updates the directory that requests use, and the feed for the routers that sync from this one.
fn publish(core: &SharedCore, registry: &UpstreamRegistry) {
    for replaced in core.upstreams.update(registry.upstreams()) {
        let incarnation = &replaced.record.incarnation;
        if core.permits.limits(&replaced.record).rejections.is_some() {
            count_brittle_end(&replaced.record.service);
        }
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
    let now = core.clock.now();
    let cold_left = |upstream: &_| core.permits.cold_left(upstream, now);
    let records = registry.listed_upstreams();
    core.fleet.feed.put_upstreams(records, cold_left, now);
    core.permits
        .retain_listed(|upstream| registry.is_known(upstream));
}

fn log_change(upstream: &HostName, change: RegistryChange) {
    if change != RegistryChange::None {
        spdlog::info!("upstream", kv: { upstream = upstream.as_str(), change:? = change });
    }
}

/// Prepares the registry for the entries of a new era if `position` is the first one of it that is known here.
fn enter_era(
    core: &SharedCore,
    registry: &mut UpstreamRegistry,
    position: TopicPosition,
    now: MonotonicTime,
) {
    if core.upstream_topic.enters_era(position) {
        registry.begin_era(now);
    }
}

/// Applies changes of the topic to the registry, unless it has newer ones; returns whether one of them affects requests.
fn apply(
    core: &SharedCore,
    registry: &mut UpstreamRegistry,
    changes: TopicChanges,
    log: &mut UnreadableLog,
) -> bool {
    if core.upstream_topic.is_beyond(Some(changes.position)) {
        return false;
    }
    let now = core.clock.now();
    enter_era(core, registry, changes.position, now);
    let mut changed = changes.whole;
    if changes.whole {
        let listed: HashSet<HostName> = changes
            .records
            .iter()
            .map(|record| record.key.as_str().into())
            .collect();
        registry.retain_listed(|id| listed.contains(id), now);
    }
    let mut unreadable = Vec::new();
    for KeyedRecord { key, value, offset } in changes.records {
        let change = match value.map(|value| decode_upstream(&key, &value)) {
            Some(Ok(record)) => {
                changed |= record_cold_entry(core, &record, now);
                registry.observe(record)
            }
            Some(Err(error)) => {
                let position = TopicPosition::new(changes.position.era, offset);
                let record = UnreadableRecord {
                    key: key.clone(),
                    reason: error.to_string(),
                };
                unreadable.push((position, record));
                registry.observe_malformed(&key)
            }
            None => registry.observe_removed(&key, now),
        };
        log_change(&key.as_str().into(), change);
        changed |= change != RegistryChange::None;
    }
    log.report(unreadable);
    changed
}
