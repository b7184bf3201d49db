//! Follows the upstreams' entries.

use std::collections::HashSet;
use std::time::Duration;

use ferry_decisions::names::HostName;
use ferry_decisions::roster::{RosterChange, UpstreamRecord, UpstreamRoster};
use ferry_kernel::ticks;
use ferry_platform::entries::decode_upstream;
use ferry_platform::store::{KeyedRecord, TopicPart, UPSTREAM_TOPIC};
use tokio::time::sleep;

use super::LossNote;
use super::topic_reader::{TopicChanges, TopicReader};
use crate::relay::relay_core::SharedCore;
use crate::relay::store_contact::StoreContact;

/// Reads within the time in which a leaving upstream must be noticed.
const READS_PER_DRAIN: u32 = 3;
/// Partition of the upstreams' entries.
const UPSTREAMS: TopicPart<'static> = TopicPart::only(UPSTREAM_TOPIC);
/// Time for which a router that starts waits for another one to tell it of many upstreams.
const START_PATIENCE: Duration = Duration::from_secs(6);
/// Pause between two looks at whether it does.
const START_PAUSE: Duration = Duration::from_millis(50);
/// Reads that fail in a row before the store counts as having been away.
const OUTAGE_READS: u32 = 3;

/// Follows the upstreams' topic until the relay closes.
pub async fn follow(core: SharedCore) {
    let mut reader = TopicReader::new(core.store.clone(), UPSTREAM_TOPIC);
    let period = core.settings.load().bounds.drain / READS_PER_DRAIN;
    let mut ticks = ticks::every(period);
    let mut loss = LossNote::new(
        "the upstreams' topic cannot be read",
        "the upstreams' topic is read again",
    );
    await_feed(&core).await;
    loop {
        ticks.tick().await;
        core.fleet.unfed().await;
        let asked = StoreContact::now();
        let changes = match reader.next(Duration::ZERO).await {
            Ok(changes) => changes,
            Err(error) => {
                loss.lose(&error);
                continue;
            }
        };
        loss.regain();
        let now = core.clock.now();
        let away = core.listing.age() > period * OUTAGE_READS;
        core.listing.confirm(asked);
        let mut roster = core.roster.lock();
        if away {
            roster.note_return(now);
        }
        let changed = apply(&core, &mut roster, changes);
        let expired = roster.expire(now.after(period));
        if changed || expired || !core.upstreams.is_listed() {
            publish(&core, &roster);
        }
    }
}

/// Where the entries fill more than a page, waits a while for another router that has read them: a whole
/// fleet that starts together would ask the store for more than it can pass on.
async fn await_feed(core: &SharedCore) {
    let first = core.store.newest(UPSTREAMS, None).await;
    if !first.is_ok_and(|page| page.has_more) {
        return;
    }
    let began = core.clock.now();
    while core.clock.now().since(began) < START_PATIENCE && may_be_fed(core) {
        if core.fleet.is_fed() {
            break;
        }
        sleep(START_PAUSE).await;
    }
    spdlog::info!("many upstreams; another router was awaited", kv: {
        fed = core.fleet.is_fed(),
        waited_ms = core.clock.now().since(began).as_millis() as u64,
    });
}

/// Whether there is another router to ask, or this one has not joined the fleet yet.
fn may_be_fed(core: &SharedCore) -> bool {
    let settings = core.settings.load();
    let feeder = core
        .fleet
        .feeder(&settings.host, &settings.zone, core.clock.now());
    !core.fleet.is_listed() || feeder.is_some()
}

/// Takes in what another router told: changes, or, where it is `whole`, all upstreams.
pub fn apply_fed(core: &SharedCore, whole: bool, records: Vec<UpstreamRecord>, gone: &[HostName]) {
    if !whole && records.is_empty() && gone.is_empty() {
        return;
    }
    let mut roster = core.roster.lock();
    if whole {
        let listed: HashSet<HostName> = records.iter().map(|r| r.life.id.clone()).collect();
        roster.forget_unlisted(|id| listed.contains(id));
    }
    for record in records {
        let (id, change) = (record.life.id.clone(), roster.observe(record));
        note(&id, change);
    }
    for id in gone {
        note(id, roster.forget(id.as_str()));
    }
    publish(core, &roster);
}

/// Lets requests see the roster, and tells it to the routers that ask.
fn publish(core: &SharedCore, roster: &UpstreamRoster) {
    core.upstreams.update(roster.upstreams());
    core.fleet.feed.put_upstreams(roster.upstreams());
}

fn note(upstream: &HostName, change: RosterChange) {
    if change != RosterChange::None {
        spdlog::info!("upstream", kv: { upstream = upstream.as_str(), change:? = change });
    }
}

/// Folds the changes; returns whether one of them matters to requests.
fn apply(core: &SharedCore, roster: &mut UpstreamRoster, changes: TopicChanges) -> bool {
    let now = core.clock.now();
    let mut changed = changes.whole;
    if changes.whole {
        let listed: HashSet<HostName> = changes
            .records
            .iter()
            .map(|record| record.key.as_str().into())
            .collect();
        roster.retain_listed(|id| listed.contains(id), now);
    }
    for KeyedRecord { key, value, .. } in changes.records {
        let change = match value.map(|value| decode_upstream(&key, &value)) {
            Some(Ok(record)) => roster.observe(record),
            Some(Err(error)) => {
                spdlog::warn!("entry ignored: {}", error, kv: { upstream = key.as_str() });
                roster.observe_malformed(&key)
            }
            None => roster.observe_removed(&key, now),
        };
        note(&key.as_str().into(), change);
        changed |= change != RosterChange::None;
    }
    changed
}
