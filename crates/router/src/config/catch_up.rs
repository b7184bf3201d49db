//! Gets configuration from peers that are ahead: the records that are missing, or their state.
//!
//! A router that folds a record says so to its neighbours at once; one that is behind asks for the
//! rest. Whatever the log itself gives later is recognised as a repetition.

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
use super::{ConfigAnswer, ConfigQuery};
use crate::core::RouterCore;
use crate::peer::{PeerError, PeerMessage, PeerTopic, decode, encode};

/// Time that an answer may take.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);
/// Least time between two questions.
const ASK_GAP: Duration = Duration::from_millis(20);

/// Compares the own configuration with what peers said: alarms on a difference, catches up when
/// one is ahead.
pub fn compare_with_peers(core: &RouterCore) {
    let own = core.config.mark();
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

/// Asks peers that are ahead, whenever one is.
pub async fn run(core: Arc<RouterCore>) {
    loop {
        core.config.behind.notified().await;
        while let Some(host) = peer_ahead(&core) {
            if let Err(error) = ask(&core, &host).await {
                spdlog::debug!("no configuration from a peer: {}", error, kv: { peer = host.as_str() });
                break;
            }
            sleep(ASK_GAP).await;
        }
        sleep(ASK_GAP).await;
    }
}

/// Answers a router that is behind.
pub fn on_message(
    core: Arc<RouterCore>,
    message: PeerMessage,
) -> BoxFuture<'static, Option<Bytes>> {
    Box::pin(async move {
        let query: ConfigQuery = decode(&message.body).ok()?;
        encode(&core.config.answer(query.from)).ok()
    })
}

/// One of the peers that hold more than this router.
fn peer_ahead(core: &RouterCore) -> Option<HostName> {
    let own = core.config.mark().next_offset;
    let rows = core.members.live_rows();
    let ahead: Vec<&MemberRow> = rows
        .iter()
        .filter(|row| row.config.next_offset > own)
        .collect();
    ahead.choose(&mut rand::rng()).map(|row| row.host.clone())
}

async fn ask(core: &RouterCore, host: &HostName) -> Result<(), PeerError> {
    let query = ConfigQuery {
        from: core.config.mark().next_offset,
    };
    let answer: ConfigAnswer = core
        .hub()
        .ask(host, PeerTopic::Config, &query, ANSWER_LIMIT)
        .await?;
    for record in &answer.records {
        fold_record(core, record);
    }
    let Some(snapshot) = &answer.snapshot else {
        return Ok(());
    };
    let fold = ConfigFold::from_snapshot(snapshot)
        .ok_or_else(|| PeerError::Malformed("a snapshot without its hash".to_owned()))?;
    if adopt(core, fold, &[]) {
        spdlog::info!("configuration taken from a peer", kv: { peer = host.as_str(), as_of = snapshot.as_of });
    }
    Ok(())
}
