//! Telling the other routers of requests that break the upstreams that run them.

use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::names::HostName;
use ferry_decisions::quarantine::RequestFingerprint;
use serde::{Deserialize, Serialize};

use super::peer_body;
use crate::peer::{PeerMessage, PeerTopic};
use crate::relay::relay_core::{RelayCore, SharedCore};

/// Time allowed for telling one router.
const TELL_LIMIT: Duration = Duration::from_secs(2);

/// A request that is not run again, and the upstreams that broke off with it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BreakReport {
    /// The request's content.
    pub request: RequestFingerprint,
    /// Upstreams that broke off.
    pub upstreams: Vec<HostName>,
}

/// Tells all routers that are registered; one that can't be reached learns of the request by running it.
pub fn tell_fleet(core: &SharedCore, report: &BreakReport) {
    let own = core.settings.load().host.clone();
    for router in core.fleet.hosts() {
        if router != own {
            core.spawn(tell(core.clone(), router, report.clone()));
        }
    }
}

async fn tell(core: SharedCore, router: HostName, report: BreakReport) {
    let Some(hub) = core.fleet.hub() else {
        return;
    };
    let told: Result<(), _> = hub
        .ask(&router, PeerTopic::Quarantine, &report, TELL_LIMIT)
        .await;
    if let Err(error) = told {
        spdlog::info!("a router was not told of a request that breaks upstreams: {}", error, kv: {
            router = router.as_str(),
            fingerprint = report.request.to_string(),
        });
    }
}

/// Takes in what another router told, and confirms it.
pub fn take_report(core: &RelayCore, message: &PeerMessage) -> Option<Bytes> {
    let report: BreakReport = peer_body::read(message, "report")?;
    spdlog::info!("request quarantined by another router", kv: {
        router = message.from.as_str(),
        fingerprint = report.request.to_string(),
        upstreams = report.upstreams.len(),
    });
    let now = core.clock.now();
    let mut crashes = core.crashes.lock();
    for upstream in &report.upstreams {
        crashes.record(report.request, upstream, now);
    }
    peer_body::write(&(), "an answer to a router")
}
