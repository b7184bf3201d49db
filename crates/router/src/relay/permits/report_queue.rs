//! Reports about permits that are kept until the routers that issued them have answered.

use ferry_decisions::limits::{PendingReport, PendingReports};
use ferry_decisions::names::HostName;
use ferry_decisions::time::MonotonicTime;
use futures::future::OptionFuture;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::permit_message::PermitReport;

/// What became of permits of other routers, not yet reported to them.
#[derive(Debug, Default)]
pub struct ReportQueue {
    pending: Mutex<PendingReports<PermitReport>>,
    has_changed: Notify,
}

impl ReportQueue {
    /// Keeps `report` for `issuer` until it is sent.
    pub fn push(&self, issuer: &HostName, report: PendingReport<PermitReport>) {
        self.pending.lock().push(issuer, report);
        self.has_changed.notify_one();
    }

    /// Waits until there are reports to other routers that may be due.
    pub async fn await_due(&self, now: MonotonicTime) {
        let rest = self.pending.lock().rest_left(now);
        let rest = OptionFuture::from(rest.map(sleep));
        tokio::select! {
            () = self.has_changed.notified() => {}
            Some(()) = rest => {}
        }
    }

    /// Takes the reports to other routers that are due.
    pub fn take_due(
        &self,
        now: MonotonicTime,
    ) -> Vec<(HostName, Vec<PendingReport<PermitReport>>)> {
        self.pending.lock().take_due(now)
    }

    /// Records that `issuer` answered the message with reports.
    pub fn record_answer(&self, issuer: &HostName) {
        self.pending.lock().record_answer(issuer);
        self.has_changed.notify_one();
    }

    /// Records that `issuer` did not answer the message with the reports `sent`.
    pub fn record_silence(
        &self,
        issuer: &HostName,
        sent: Vec<PendingReport<PermitReport>>,
        now: MonotonicTime,
    ) {
        self.pending.lock().record_silence(issuer, sent, now);
        self.has_changed.notify_one();
    }
}
