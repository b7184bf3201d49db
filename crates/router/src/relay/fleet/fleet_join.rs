//! Registration of this router in the store, and the list of the registered routers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::names::Incarnation;
use ferry_platform::store::{
    AppendCondition, KeyedEntry, StoreError, TopicPartition, encode_keyed,
};
use tokio::time::{sleep, timeout};

use super::feed_client::answer_peer;
use super::fleet_manager::RouterEntry;
use crate::peer::{self, PeerHandler, PeerHub, PeerSettings};
use crate::relay::paths::tunnel_handler;
use crate::relay::relay_core::SharedCore;

/// Partition of the routers' entries.
const ROUTERS: TopicPartition<'static> = TopicPartition::only("keyed.routers");
/// Key of the secret by which routers authenticate one another.
const SECRET_KEY: &str = "secret";
/// Prefix of the keys of the routers' entries.
const ROUTER_PREFIX: &str = "router/";
/// Delay after a failed attempt to join.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Delay before the routers are listed again after the join, so that those that start together have registered, and
/// after such a list failed.
const FIRST_LIST_DELAY: Duration = Duration::from_millis(1_500);
/// Period of the reads of the routers' list.
const LIST_PERIOD: Duration = Duration::from_secs(15);
/// Minimum time before the list is read again when the sync from another router ends early.
const MIN_LIST_PERIOD: Duration = Duration::from_secs(3);

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

/// Joins the fleet, then keeps the list of its routers up to date.
pub async fn keep_joined(core: SharedCore) {
    while let Err(error) = join(&core).await {
        spdlog::debug!("joining the fleet failed, will be retried: {}", error);
        sleep(RETRY_DELAY).await;
    }
    sleep(FIRST_LIST_DELAY).await;
    loop {
        match core.store.newest_all(ROUTERS).await {
            Ok((entries, _)) => {
                core.fleet.set_routers(routers(&entries));
                core.fleet.confirm_list();
            }
            Err(error) => {
                spdlog::info!("the routers could not be listed: {}", error);
                if core.fleet.confirmed_count().is_none() {
                    sleep(FIRST_LIST_DELAY).await;
                    continue;
                }
            }
        }
        let started_at = core.clock.now();
        let _ = timeout(LIST_PERIOD, core.fleet.wait_until_unsynced()).await;
        let left = MIN_LIST_PERIOD.saturating_sub(core.clock.now().since(started_at));
        sleep(left).await;
        if !core.fleet.is_synced_from_peer() {
            sleep(LIST_PERIOD - MIN_LIST_PERIOD).await;
        }
    }
}

/// Opens the port for other routers with the fleet's secret, and registers its address.
async fn join(core: &SharedCore) -> Result<(), JoinError> {
    let (entries, end) = core.store.newest_all(ROUTERS).await?;
    let stored_secret = entries.iter().find(|entry| entry.key == SECRET_KEY);
    let secret = match stored_secret {
        Some(entry) => String::from_utf8_lossy(&entry.value).into_owned(),
        None => make_secret(core, end).await?,
    };
    let hub = match core.fleet.hub() {
        Some(hub) => hub.clone(),
        None => start_hub(core, secret).await?,
    };
    let settings = core.settings.load();
    let entry = RouterEntry {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        address: hub.address(),
        link_mbps: settings.link_mbps,
    };
    core.fleet.connect(hub);
    // Known before the own entry is written, which may fail while the store takes no appends.
    core.fleet.set_routers(routers(&entries));
    let value = peer::encode(&entry)?;
    append(
        core,
        &format!("{ROUTER_PREFIX}{}", entry.host),
        &value,
        AppendCondition::None,
    )
    .await?;
    // Read after the own entry was written: of two routers that start together, one at least knows the other then.
    let (entries, _) = core.store.newest_all(ROUTERS).await?;
    core.fleet.set_routers(routers(&entries));
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
    let router_entries = entries
        .iter()
        .filter(|entry| entry.key.starts_with(ROUTER_PREFIX));
    router_entries
        .filter_map(|entry| match peer::decode(&entry.value) {
            Ok(router) => Some(router),
            Err(error) => {
                spdlog::warn!("invalid entry of a router ignored: {}", error, kv: { key = entry.key.as_str() });
                None
            }
        })
        .collect()
}
