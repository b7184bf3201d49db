//! Fetches configuration from peers that are ahead: the missing records, or a snapshot.
//!
//! A router that folds a record notifies its neighbours at once; a router that is behind then
//! queries one of them. Records that the log delivers later are recognised as repetitions.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::config::ConfigFold;
use ferry_decisions::membership::MemberRow;
use ferry_decisions::names::HostName;
use futures::future::BoxFuture;
use rand::seq::IndexedRandom;
use tokio::time::sleep;

use super::config_tail::{adopt, fold_record};
use super::{ConfigQuery, ConfigReply};
use crate::core::RouterCore;
use crate::peer::{PeerError, PeerMessage, PeerTopic, decode, encode};

/// Timeout of one query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest pause between two queries.
const QUERY_PAUSE: Duration = Duration::from_millis(20);

/// Compares this router's configuration with the peers' reports: logs a mismatch, and starts a
/// catch-up when a peer is ahead.
pub fn compare_with_peers(core: &RouterCore) {
    let own = core.config.position();
    let rows = core.members.live_rows();
    for row in &rows {
        core.config.audit.compare(&own, row);
    }
    if rows
        .iter()
        .any(|row| row.config.next_offset > own.next_offset)
    {
        core.config.behind.notify_one();
    }
}

/// Queries peers whenever one of them is ahead.
pub async fn run(core: Arc<RouterCore>) {
    loop {
        core.config.behind.notified().await;
        while let Some(host) = peer_ahead(&core) {
            if let Err(error) = query_peer(&core, &host).await {
                spdlog::debug!("cannot get the configuration from a peer: {}", error, kv: { peer = host.as_str() });
                break;
            }
            sleep(QUERY_PAUSE).await;
        }
        sleep(QUERY_PAUSE).await;
    }
}

/// Replies to the query of a router that is behind.
pub fn on_message(
    core: Arc<RouterCore>,
    message: PeerMessage,
) -> BoxFuture<'static, Option<Bytes>> {
    Box::pin(async move {
        let query: ConfigQuery = decode(&message.body).ok()?;
        encode(&core.config.reply(query.from)).ok()
    })
}

/// Picks at random one of the peers that are ahead of this router.
fn peer_ahead(core: &RouterCore) -> Option<HostName> {
    let own = core.config.position().next_offset;
    let rows = core.members.live_rows();
    let ahead: Vec<&MemberRow> = rows
        .iter()
        .filter(|row| row.config.next_offset > own)
        .collect();
    ahead.choose(&mut rand::rng()).map(|row| row.host.clone())
}

async fn query_peer(core: &RouterCore, host: &HostName) -> Result<(), PeerError> {
    let query = ConfigQuery {
        from: core.config.position().next_offset,
    };
    let reply: ConfigReply = core
        .hub()
        .send_query(host, PeerTopic::Config, &query, QUERY_TIMEOUT)
        .await?;
    for record in &reply.records {
        fold_record(core, record);
    }
    let Some(snapshot) = &reply.snapshot else {
        return Ok(());
    };
    let fold = ConfigFold::from_snapshot(snapshot)
        .ok_or_else(|| PeerError::Malformed("a snapshot without its hash".to_owned()))?;
    if adopt(core, fold, &[]) {
        spdlog::info!("configuration snapshot adopted from a peer", kv: { peer = host.as_str(), as_of = snapshot.as_of });
    }
    Ok(())
}
