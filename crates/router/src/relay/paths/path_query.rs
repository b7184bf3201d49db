//! Questions about paths to other routers, and the answers to theirs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::names::HostName;
use ferry_decisions::registry::UpstreamIncarnation;
use futures::future::join_all;

use super::end_check::own_sign;
use super::open_link::probe;
use super::path_message::{PathAnswer, PathMessage, ReachProof, ReachQuery, UpstreamStatement};
use crate::peer::{PeerError, PeerMessage, PeerTopic};
use crate::relay::fleet::{read_body, write_body};
use crate::relay::relay_core::{RelayCore, SharedCore};
use crate::relay::upstreams::RelayUpstream;

/// Maximum number of upstreams in one question.
pub const MAX_ASKED: usize = 128;
/// Timeout of a question, in which the other router may try to connect.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Age up to which data from an upstream shows that it is reached now.
const HEARD_AGE: Duration = Duration::from_millis(250);

/// Answers a message of another router.
pub async fn answer_message(core: &SharedCore, message: &PeerMessage) -> Option<Bytes> {
    let answer = match read_body(message, "message about paths")? {
        PathMessage::Reach(query) => {
            let asked = query.upstreams.iter().take(MAX_ASKED);
            let reached = asked.map(|upstream| reaches(core, upstream, query.proof));
            PathAnswer::Reached(join_all(reached).await)
        }
        PathMessage::Statement(statement) => {
            note(core, &statement);
            PathAnswer::Noted
        }
    };
    write_body(&answer, "an answer to a router")
}

/// Asks `router` which upstreams it reaches.
///
/// # Errors
///
/// Fails when the router does not answer in time.
pub async fn ask_reached(
    core: &RelayCore,
    router: &HostName,
    query: ReachQuery,
) -> Result<Vec<bool>, PeerError> {
    match send(core, router, &PathMessage::Reach(query)).await? {
        PathAnswer::Reached(reached) => Ok(reached),
        PathAnswer::Noted => Err(PeerError::Unanswered(router.clone())),
    }
}

/// Tells `router`, through which an answer of an upstream came, what the upstream stated there.
pub fn tell_router(core: &SharedCore, router: HostName, statement: UpstreamStatement) {
    let core_of_task = core.clone();
    core.spawn(async move {
        let message = PathMessage::Statement(statement);
        if let Err(error) = send(&core_of_task, &router, &message).await {
            spdlog::warn!("a statement of an upstream did not reach the router between: {}", error, kv: {
                router = router.as_str(),
            });
        }
    });
}

/// The listed upstream of this incarnation.
pub fn find_upstream(
    core: &RelayCore,
    incarnation: &UpstreamIncarnation,
) -> Option<Arc<RelayUpstream>> {
    let upstream = core.upstreams.find(&incarnation.id)?;
    (upstream.record.incarnation == *incarnation).then_some(upstream)
}

async fn send(
    core: &RelayCore,
    router: &HostName,
    message: &PathMessage,
) -> Result<PathAnswer, PeerError> {
    let hub = core
        .fleet
        .hub()
        .ok_or_else(|| PeerError::NotConnected(router.clone()))?;
    hub.send_query(router, PeerTopic::Paths, message, ANSWER_TIMEOUT)
        .await
}

/// Whether this router reaches the upstream now by its own path.
async fn reaches(core: &SharedCore, incarnation: &UpstreamIncarnation, proof: ReachProof) -> bool {
    let Some(upstream) = find_upstream(core, incarnation) else {
        return false;
    };
    if upstream.is_path_lost() {
        return false;
    }
    match proof {
        ReachProof::Recent if upstream.is_leaving() => false,
        ReachProof::Recent if upstream.was_heard_within(HEARD_AGE, core.clock.now()) => true,
        ReachProof::Recent => probe(core, &upstream).await,
        ReachProof::NewConnection | ReachProof::SameProcess if upstream.pause_left().is_some() => {
            false
        }
        ReachProof::NewConnection | ReachProof::SameProcess => {
            own_sign(core, &upstream).await.is_alive()
        }
    }
}

fn note(core: &RelayCore, statement: &UpstreamStatement) {
    let Some(upstream) = find_upstream(core, &statement.upstream) else {
        return;
    };
    spdlog::info!("statement of an upstream to another router", kv: {
        upstream = upstream.id(),
        leaves = statement.leaves,
        pause_ms = statement.pause.as_millis() as u64,
    });
    if statement.leaves {
        upstream.mark_leaving();
    }
    if !statement.pause.is_zero() {
        upstream.pause(statement.pause);
    }
}
