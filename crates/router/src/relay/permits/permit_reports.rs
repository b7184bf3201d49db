//! Reports what became of permits to the routers that issued them.

use std::time::Duration;

use ferry_decisions::limits::PendingReport;
use ferry_decisions::names::HostName;
use ferry_decisions::time::MonotonicTime;

use super::permit_message::{PermitPurpose, PermitQuery, PermitReport};
use super::permit_query::{query, send};
use crate::relay::relay_core::SharedCore;

/// Records a report about a permit of this router: here if this router issued it, or else for the next message to `issuer`. A message that is lost is sent
/// again until `until`.
pub fn record_report(
    core: &SharedCore,
    issuer: &HostName,
    report: PermitReport,
    until: MonotonicTime,
) {
    let host = core.settings.load().host.clone();
    let now = core.clock.now();
    if *issuer == host {
        let mut permits = core.permits.issuer().lock();
        permits.record_report(&host, &report, now);
        return;
    }
    let pending = PendingReport {
        report,
        recorded_at: now,
        until,
    };
    core.permits.reports().push(issuer, pending);
}

/// Sends reports about permits to the routers that issued them, until the relay closes.
pub async fn send_reports(core: SharedCore) {
    loop {
        core.permits.reports().await_due(core.clock.now()).await;
        for (issuer, reports) in core.permits.reports().take_due(core.clock.now()) {
            core.spawn(send_reports_to(core.clone(), issuer, reports));
        }
    }
}

/// Sends `reports` to `issuer` in one message.
async fn send_reports_to(
    core: SharedCore,
    issuer: HostName,
    reports: Vec<PendingReport<PermitReport>>,
) {
    let Some(first) = reports.first() else {
        return;
    };
    let now = core.clock.now();
    let aged = reports.iter().map(|pending| {
        let waited = now.since(pending.recorded_at);
        aged(&pending.report, waited)
    });
    let query = PermitQuery {
        reports: aged.collect(),
        ..query(&core, &first.report.upstream, PermitPurpose::Notice)
    };
    match send(&core, &issuer, query).await {
        Ok(_) => core.permits.reports().record_answer(&issuer),
        Err(error) => {
            spdlog::info!("ends of permits were not reported: {}", error, kv: { router = issuer.as_str() });
            let now = core.clock.now();
            core.permits.reports().record_silence(&issuer, reports, now);
        }
    }
}

/// `report` after it has waited for `waited`.
fn aged(report: &PermitReport, waited: Duration) -> PermitReport {
    let waited_ms = waited.as_millis() as u64;
    let mut report = report.clone();
    report.age_ms += waited_ms;
    if let Some(load) = &mut report.load {
        load.age_ms += waited_ms;
    }
    report
}
