//! Asks for turns, and answers other routers that ask for them.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::names::HostName;
use ferry_decisions::registry::UpstreamIncarnation;
use tokio::time::timeout;

use super::turn_message::{TurnAnswer, TurnQuery};
use crate::peer::{PeerError, PeerMessage, PeerTopic};
use crate::relay::fleet::{read_body, write_body};
use crate::relay::relay_core::{RelayCore, SharedCore};

/// Time for which a request waits for the answer to a query for a turn.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of such a query, which may have to open a link that later queries use.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of routers that are asked for one turn.
const MAX_QUERIES: usize = 2;
/// Time after which a turn is asked for again if no router answered.
const NO_ANSWER_WAIT: Duration = Duration::from_millis(500);

/// Takes a turn to send a request to `upstream`; returns whether the request may be sent. Without a turn the upstream is left out until one is
/// expected.
pub async fn take_turn(core: &SharedCore, upstream: &UpstreamIncarnation) -> bool {
    if core.turns.limit(upstream).is_none() {
        return true;
    }
    let lock = core.turns.ask_lock(upstream);
    let _asking = lock.lock().await;
    if core.turns.wait(upstream, core.clock.now()).is_some() {
        return false;
    }
    for _ in 0..MAX_QUERIES {
        let Some(host) = choose_giver(core, upstream) else {
            break;
        };
        let wait = match host == core.settings.load().host {
            true => Ok(core.turns.give(upstream, core.clock.now())),
            false => ask(core, &host, upstream, true).await,
        };
        match wait {
            Ok(Some(wait)) => {
                core.turns.postpone(upstream, core.clock.now().after(wait));
                return false;
            }
            Ok(None) => return true,
            Err(error) => {
                core.turns.record_unreachable(&host, core.clock.now());
                spdlog::info!("no turn from another router: {}", error, kv: {
                    router = host.as_str(),
                    upstream = upstream.id.as_str(),
                });
            }
        }
    }
    let until = core.clock.now().after(NO_ANSWER_WAIT);
    core.turns.postpone(upstream, until);
    false
}

/// Reports limits that ended by an answer to this router to the routers that give their turns, until the relay closes.
pub async fn report_ends(core: SharedCore) {
    loop {
        for upstream in core.turns.take_ended().await {
            let host = choose_giver(&core, &upstream);
            let Some(host) = host.filter(|host| *host != core.settings.load().host) else {
                continue;
            };
            if let Err(error) = ask(&core, &host, &upstream, false).await {
                // The next router that gets a turn hears it from the upstream, and reports it.
                spdlog::info!("the end of a limit was not reported: {}", error, kv: {
                    router = host.as_str(),
                    upstream = upstream.id.as_str(),
                });
            }
        }
    }
}

/// Answers a query for a turn, or the report of an ended limit.
pub fn answer_query(core: &RelayCore, message: &PeerMessage) -> Option<Bytes> {
    let query: TurnQuery = read_body(message, "query for a turn")?;
    let now = core.clock.now();
    let upstream = query.notice.upstream.clone();
    core.turns.merge(&[query.notice], now);
    let wait = match query.wants_turn {
        true => core.turns.give(&upstream, now),
        false => None,
    };
    let answer = TurnAnswer {
        notice: core.turns.notice(&upstream, now),
        wait_ms: wait.map(|wait| wait.as_millis() as u64),
    };
    write_body(&answer, "an answer to a router")
}

/// The router that gives the turns of `upstream`; this one if no other is known.
fn choose_giver(core: &SharedCore, upstream: &UpstreamIncarnation) -> Option<HostName> {
    let mut hosts = core.fleet.hosts();
    if hosts.is_empty() {
        hosts.push(core.settings.load().host.clone());
    }
    core.turns
        .giver_of(upstream, &hosts, core.clock.now())
        .cloned()
}

/// Asks `host`; returns the time after which to ask again if it gives no turn.
async fn ask(
    core: &SharedCore,
    host: &HostName,
    upstream: &UpstreamIncarnation,
    wants_turn: bool,
) -> Result<Option<Duration>, PeerError> {
    let hub = core
        .fleet
        .hub()
        .ok_or_else(|| PeerError::NotConnected(host.clone()))?;
    let query = TurnQuery {
        notice: core.turns.notice(upstream, core.clock.now()),
        wants_turn,
    };
    let (hub, giver) = (Arc::clone(hub), host.clone());
    let sending = tokio::spawn(async move {
        hub.send_query(&giver, PeerTopic::Turns, &query, QUERY_TIMEOUT)
            .await
    });
    let answer = timeout(ANSWER_TIMEOUT, sending).await;
    let Ok(Ok(answer)) = answer else {
        return Err(PeerError::TimedOut(host.clone()));
    };
    let answer: TurnAnswer = answer?;
    core.turns.merge(&[answer.notice], core.clock.now());
    Ok(answer.wait_ms.map(Duration::from_millis))
}
