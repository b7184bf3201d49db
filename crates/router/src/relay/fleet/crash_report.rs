//! Reports to the other routers about requests that crash the upstreams that run them.

use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::names::HostName;
use ferry_decisions::quarantine::RequestFingerprint;
use ferry_decisions::registry::UpstreamIncarnation;
use serde::{Deserialize, Serialize};

use super::peer_body;
use crate::peer::{PeerMessage, PeerTopic};
use crate::relay::relay_core::{RelayCore, SharedCore};

/// Timeout of a report to one router.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// A quarantined request, and the upstreams that broke the connection while they ran it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint of the request's content.
    pub request: RequestFingerprint,
    /// Upstreams that broke the connection.
    pub upstreams: Vec<UpstreamIncarnation>,
}

/// Sends `report` to all other registered routers. A router that cannot be reached may still run the
/// request, and quarantines it only after crashes that it sees itself.
pub fn report_to_fleet(core: &SharedCore, report: &CrashReport) {
    let own = core.settings.load().host.clone();
    for router in core.fleet.hosts() {
        if router != own {
            core.spawn(send_report(core.clone(), router, report.clone()));
        }
    }
}

async fn send_report(core: SharedCore, router: HostName, report: CrashReport) {
    let Some(hub) = core.fleet.hub() else {
        return;
    };
    let sent: Result<(), _> = hub
        .send_query(&router, PeerTopic::Quarantine, &report, REPORT_TIMEOUT)
        .await;
    if let Err(error) = sent {
        spdlog::info!("request quarantined here could not be reported to another router: {}", error, kv: {
            router = router.as_str(),
            fingerprint = report.request.to_string(),
        });
    }
}

/// Records the upstream failures that another router reported, and acknowledges the report.
pub fn apply_report(core: &RelayCore, message: &PeerMessage) -> Option<Bytes> {
    let report: CrashReport = peer_body::read(message, "report")?;
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
