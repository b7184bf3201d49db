//! Registration of this router in the store, and the list of the registered routers.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::names::Incarnation;
use ferry_decisions::sync::RouterEntry;
use ferry_platform::store::{
    AppendCondition, KeyedEntry, KeyedListing, KeyedRecord, StoreError, TopicPartition,
    encode_keyed,
};
use rand::Rng;
use tokio::time::{sleep, timeout};

use super::feed_reply::answer_peer;
use super::fleet_manager::own_entry;
use crate::peer::{self, PeerHandler, PeerHub, PeerSettings};
use crate::relay::paths::tunnel_handler;
use crate::relay::relay_core::SharedCore;
use crate::relay::topic_progress::TopicProgress;
use crate::relay::watch::{TopicChanges, TopicReader};

/// Topic of the routers' entries.
const ROUTER_TOPIC: &str = "keyed.routers";
/// Its only partition.
const ROUTERS: TopicPartition<'static> = TopicPartition::only(ROUTER_TOPIC);
/// Key of the secret by which routers authenticate one another.
const SECRET_KEY: &str = "secret";
/// Prefix of the keys of the routers' entries.
const ROUTER_PREFIX: &str = "router/";
/// Delay after a failed attempt to join, and its maximum after several.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time after which a router that cannot list the others goes on without them.
const LIST_PATIENCE: Duration = Duration::from_secs(2);
/// Period of the checks whether the store can be read.
const LIST_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Delay before the routers are listed again after the join, so that those that start together have registered, and
/// after such a list failed.
const FIRST_LIST_DELAY: Duration = Duration::from_millis(1_500);
/// Period of the reads of the routers' entries.
const LIST_PERIOD: Duration = Duration::from_secs(10);

/// Why an attempt to join the fleet failed.
#[derive(Debug, thiserror::Error)]
enum JoinError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error(transparent)]
    Peer(#[from] peer::PeerError),
    #[error("another router has just written the fleet's secret; the next attempt reads it")]
    SecretConflict,
}

/// Joins the fleet; tries again until that succeeds.
pub async fn join_fleet(core: SharedCore) {
    let mut delay = MIN_RETRY_DELAY;
    while let Err(error) = join(&core).await {
        spdlog::debug!("joining the fleet failed, will be retried: {}", error);
        if core.clock.elapsed() > LIST_PATIENCE {
            core.fleet.record_list(core.clock.now());
        }
        let jitter = rand::rng().random_range(0.5..1.0);
        wait_for_store(&core, delay.mul_f64(jitter)).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Waits for `delay`, or until the store could be read for the first time: what is read then is believed only after the others were asked.
async fn wait_for_store(core: &SharedCore, delay: Duration) {
    if core.operator_topic.position().is_some() {
        return sleep(delay).await;
    }
    let first_read = async {
        while core.operator_topic.position().is_none() {
            sleep(LIST_CHECK_PERIOD).await;
        }
    };
    // Ignores which one it is.
    let _ = timeout(delay, first_read).await;
}

/// Reads the entries of other routers while this one reads the store, until the relay closes. The others get them with the feed.
pub async fn follow_routers(core: SharedCore) {
    let reader = TopicReader::new(core.store.clone(), ROUTER_TOPIC);
    let progress = TopicProgress::default();
    core.fleet.wait_until_listed().await;
    sleep(FIRST_LIST_DELAY).await;
    let mut eras = core.store.eras().subscribe();
    loop {
        core.fleet.wait_until(|state| state.is_own_reader()).await;
        let pause = match read_routers(&core, &reader, &progress).await {
            Ok(()) => LIST_PERIOD,
            Err(error) => {
                spdlog::info!("the routers could not be listed: {}", error);
                FIRST_LIST_DELAY
            }
        };
        // A new era is looked at before the end of the pause.
        let _ = timeout(pause, eras.changed()).await;
    }
}

/// Reads the entries of other routers once; after the store came back from an older copy, writes again what it lost.
async fn read_routers(
    core: &SharedCore,
    reader: &TopicReader,
    progress: &TopicProgress,
) -> Result<(), StoreError> {
    let known_keys = core.fleet.router_count();
    let changes = reader.next(progress, known_keys, Duration::ZERO).await?;
    if progress.enters_era(changes.position) {
        restore_records(core, &changes).await?;
    }
    progress.advance(changes.position);
    let entries = changes.records.iter().filter_map(decode_record).collect();
    core.fleet.add_routers(entries);
    core.fleet.confirm_list();
    Ok(())
}

/// Writes again the secret and the routers' entries that are missing in `listing`, unless another router writes at the same time. The
/// caller then lists the topic again.
async fn restore_records(core: &SharedCore, listing: &TopicChanges) -> Result<(), StoreError> {
    let Some(hub) = core.fleet.hub() else {
        return Ok(());
    };
    let listed: HashSet<&str> = listing
        .records
        .iter()
        .map(|record| record.key.as_str())
        .collect();
    let mut secrets = listing
        .records
        .iter()
        .filter(|record| record.key == SECRET_KEY);
    if secrets.any(|record| record.value.as_deref() != Some(hub.secret().as_bytes())) {
        spdlog::error!(
            "the store holds another secret than this router's links; restart this router to join the others"
        );
    }
    let settings = core.settings.load();
    let own = own_entry(&settings, hub.address());
    let entries = core.fleet.others(&settings.host).into_iter().chain([own]);
    let entries = entries.filter_map(|entry| {
        let value = peer::encode(&entry).ok()?;
        Some((router_key(&entry), value))
    });
    let secret = (
        SECRET_KEY.to_owned(),
        hub.secret().as_bytes().to_vec().into(),
    );
    let records = entries.chain([secret]);
    let missing = records.filter(|(key, _)| !listed.contains(key.as_str()));
    let missing: Vec<Vec<u8>> = missing
        .filter_map(|(key, value)| encode_keyed(&key, &value))
        .collect();
    if missing.is_empty() {
        return Ok(());
    }
    let contents = missing.iter().map(|record| &record[..]);
    let guard = AppendCondition::EndsAt(listing.position.offset);
    core.store.append(ROUTERS, contents, guard).await?;
    spdlog::info!("routers' records written again in the store's new era", kv: {
        era = listing.position.era.0,
        records = missing.len(),
    });
    Ok(())
}

fn router_key(entry: &RouterEntry) -> String {
    format!("{ROUTER_PREFIX}{}", entry.host)
}

/// Opens the port for other routers with the fleet's secret, and registers its address.
async fn join(core: &SharedCore) -> Result<(), JoinError> {
    let KeyedListing { entries, end } = core.store.newest_all(ROUTERS).await?;
    core.fleet.add_routers(routers(&entries));
    let stored_secret = entries.iter().find(|entry| entry.key == SECRET_KEY);
    let secret = match stored_secret {
        Some(entry) => String::from_utf8_lossy(&entry.value).into_owned(),
        None => make_secret(core, end.offset).await?,
    };
    let hub = match core.fleet.hub() {
        Some(hub) => hub.clone(),
        None => start_hub(core, secret).await?,
    };
    let entry = own_entry(&core.settings.load(), hub.address());
    core.fleet.connect(hub);
    // Listed before the own entry is written, which may fail while the store takes no appends.
    core.fleet.record_list(core.clock.now());
    let value = peer::encode(&entry)?;
    append(core, &router_key(&entry), &value, AppendCondition::None).await?;
    if core.fleet.is_synced_from_peer() {
        return Ok(());
    }
    // Read after the own entry was written: of two routers that start together, one at least knows the other then.
    let listing = core.store.newest_all(ROUTERS).await?;
    core.fleet.add_routers(routers(&listing.entries));
    Ok(())
}

/// Writes a new secret, unless records were appended to the partition since it was listed up to `end`.
async fn make_secret(core: &SharedCore, end: u64) -> Result<String, JoinError> {
    let secret = Incarnation::random().0.simple().to_string();
    match append(
        core,
        SECRET_KEY,
        secret.as_bytes(),
        AppendCondition::EndsAt(end),
    )
    .await
    {
        Ok(()) => Ok(secret),
        Err(StoreError::EndMismatch { .. }) => Err(JoinError::SecretConflict),
        Err(error) => Err(error.into()),
    }
}

async fn start_hub(core: &SharedCore, secret: String) -> Result<Arc<PeerHub>, peer::PeerError> {
    let settings = core.settings.load();
    let (port, _) = settings.peer_ports;
    let peer_settings = PeerSettings {
        listen: SocketAddr::new(settings.callers.ip(), port),
        secret,
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        incarnation: Incarnation::random(),
    };
    let weak = Arc::downgrade(core);
    let handler: PeerHandler = Arc::new(move |message| {
        let core = weak.upgrade();
        Box::pin(async move { answer_peer(&core?, message).await })
    });
    let hub = PeerHub::start(peer_settings, handler).await?;
    hub.serve_streams(tunnel_handler(core));
    Ok(hub)
}

async fn append(
    core: &SharedCore,
    key: &str,
    value: &[u8],
    guard: AppendCondition<'_>,
) -> Result<(), StoreError> {
    let Some(record) = encode_keyed(key, value) else {
        return Err(StoreError::Unreadable(format!("the key {key} is too long")));
    };
    let appended = core.store.append(ROUTERS, [&record[..]], guard).await;
    appended.map(|_| ())
}

fn routers(entries: &[KeyedEntry]) -> Vec<RouterEntry> {
    let entries = entries.iter();
    entries
        .filter_map(|entry| decode_entry(&entry.key, &entry.value))
        .collect()
}

fn decode_record(record: &KeyedRecord) -> Option<RouterEntry> {
    decode_entry(&record.key, record.value.as_ref()?)
}

/// Decodes the entry of a router; `None` for other records, and for malformed ones, which are logged.
fn decode_entry(key: &str, value: &[u8]) -> Option<RouterEntry> {
    if !key.starts_with(ROUTER_PREFIX) {
        return None;
    }
    peer::decode(value)
        .inspect_err(|error| {
            spdlog::warn!("invalid entry of a router ignored: {}", error, kv: { key = key });
        })
        .ok()
}

/// Waits until the routers are listed and can be asked, or could not be listed for a while although the store can be read.
pub async fn wait_for_routers(core: &SharedCore) {
    tokio::select! {
        () = core.fleet.wait_until_joined() => {}
        () = wait_without_list(core) => {}
    }
}

async fn wait_without_list(core: &SharedCore) {
    while core.operator_topic.position().is_none() {
        sleep(LIST_CHECK_PERIOD).await;
    }
    sleep(LIST_PATIENCE).await;
    spdlog::warn!("the routers could not be listed; none was asked for what the store may lack");
}
