//! Asks for permits, and answers other routers that ask for them.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::names::HostName;
use ferry_decisions::registry::UpstreamIncarnation;
use tokio::time::timeout;

use super::permit_message::{PermitAnswer, PermitPurpose, PermitQuery};
use crate::peer::{PeerError, PeerMessage, PeerTopic};
use crate::relay::fleet::{read_body, write_body};
use crate::relay::relay_core::{RelayCore, SharedCore};

/// Time for which a request waits for the answer to a query for a permit.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of such a query, which may have to open a link that later queries use.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of routers that are asked for one permit.
const MAX_QUERIES: usize = 2;
/// Time after which a permit is asked for again if no router answered.
const NO_ANSWER_WAIT: Duration = Duration::from_millis(500);

/// Takes a permit to send a request to `upstream`; returns whether the request may be sent. Without a permit the upstream is left out until one is
/// expected.
pub async fn take_permit(core: &SharedCore, upstream: &UpstreamIncarnation) -> bool {
    if core.permits.stated(upstream).is_none() {
        return true;
    }
    let lock = core.permits.ask_lock(upstream);
    let _asking = lock.lock().await;
    if core.permits.wait(upstream, core.clock.now()).is_some() {
        return false;
    }
    for _ in 0..MAX_QUERIES {
        let Some(host) = choose_issuer(core, upstream) else {
            break;
        };
        let wait = match host == core.settings.load().host {
            true => Ok(core.permits.issue(upstream, core.clock.now())),
            false => ask(core, &host, upstream, PermitPurpose::Permit).await,
        };
        match wait {
            Ok(Some(wait)) => {
                core.permits
                    .postpone(upstream, core.clock.now().after(wait));
                return false;
            }
            Ok(None) => return true,
            Err(error) => {
                core.permits.record_unreachable(&host, core.clock.now());
                spdlog::info!("no permit from another router: {}", error, kv: {
                    router = host.as_str(),
                    upstream = upstream.id.as_str(),
                });
            }
        }
    }
    let until = core.clock.now().after(NO_ANSWER_WAIT);
    core.permits.postpone(upstream, until);
    false
}

/// Reports limits that ended by an answer to this router to the routers that issue their permits, until the relay closes.
pub async fn report_ends(core: SharedCore) {
    loop {
        for upstream in core.permits.take_ended().await {
            let host = choose_issuer(&core, &upstream);
            let Some(host) = host.filter(|host| *host != core.settings.load().host) else {
                continue;
            };
            if let Err(error) = ask(&core, &host, &upstream, PermitPurpose::Notice).await {
                // The next router that gets a permit hears it from the upstream, and reports it.
                spdlog::info!("the end of a limit was not reported: {}", error, kv: {
                    router = host.as_str(),
                    upstream = upstream.id.as_str(),
                });
            }
        }
    }
}

/// Reports that `upstream` rejected a request for want of room to the router that issues its permits, if rejections endanger it.
pub fn report_rejection(core: &SharedCore, upstream: &UpstreamIncarnation) {
    if core.permits.stated(upstream).rejections.is_none() {
        return;
    }
    let Some(host) = choose_issuer(core, upstream) else {
        return;
    };
    if host == core.settings.load().host {
        core.permits.record_rejection(upstream, core.clock.now());
        return;
    }
    let (core_of_task, upstream) = (core.clone(), upstream.clone());
    core.spawn(async move {
        let report = ask(&core_of_task, &host, &upstream, PermitPurpose::Rejection);
        if let Err(error) = report.await {
            core_of_task.permits.record_unreachable(&host, core_of_task.clock.now());
            spdlog::info!("a rejection was not reported: {}", error, kv: { router = host.as_str(), upstream = upstream.id.as_str() });
        }
    });
}

/// Answers a query for a permit, or the report of an ended limit.
pub fn answer_query(core: &RelayCore, message: &PeerMessage) -> Option<Bytes> {
    let query: PermitQuery = read_body(message, "query for a permit")?;
    let now = core.clock.now();
    let upstream = query.notice.upstream.clone();
    core.permits.merge(&[query.notice], now);
    let wait = match query.purpose {
        PermitPurpose::Permit => core.permits.issue(&upstream, now),
        PermitPurpose::Rejection => {
            core.permits.record_rejection(&upstream, now);
            None
        }
        PermitPurpose::Notice => None,
    };
    let answer = PermitAnswer {
        notice: core.permits.notice(&upstream, now),
        wait_ms: wait.map(|wait| wait.as_millis() as u64),
    };
    write_body(&answer, "an answer to a router")
}

/// The router that issues the permits of `upstream`; this one if no other is known.
fn choose_issuer(core: &SharedCore, upstream: &UpstreamIncarnation) -> Option<HostName> {
    let mut hosts = core.fleet.hosts();
    if hosts.is_empty() {
        hosts.push(core.settings.load().host.clone());
    }
    core.permits
        .issuer_of(upstream, &hosts, core.clock.now())
        .cloned()
}

/// Asks `host`; returns the time after which to ask again if it issues no permit.
async fn ask(
    core: &SharedCore,
    host: &HostName,
    upstream: &UpstreamIncarnation,
    purpose: PermitPurpose,
) -> Result<Option<Duration>, PeerError> {
    let hub = core
        .fleet
        .hub()
        .ok_or_else(|| PeerError::NotConnected(host.clone()))?;
    let query = PermitQuery {
        notice: core.permits.notice(upstream, core.clock.now()),
        purpose,
    };
    let (hub, issuer) = (Arc::clone(hub), host.clone());
    let sending = tokio::spawn(async move {
        hub.send_query(&issuer, PeerTopic::Permits, &query, QUERY_TIMEOUT)
            .await
    });
    let answer = timeout(ANSWER_TIMEOUT, sending).await;
    let Ok(Ok(answer)) = answer else {
        return Err(PeerError::TimedOut(host.clone()));
    };
    let answer: PermitAnswer = answer?;
    core.permits.merge(&[answer.notice], core.clock.now());
    Ok(answer.wait_ms.map(Duration::from_millis))
}
