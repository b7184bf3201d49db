//! Reports about permits that wait to be sent to the routers that issued them.
//!
//! Each router gets its reports in one message at a time, whatever becomes of the messages to others: one that is suspended or cut off holds nobody
//! else's back. Reports of a message that is not answered are sent again as long as they are of use; the router that issued the permits may get them
//! twice.

use std::collections::HashMap;
use std::time::Duration;

use crate::names::HostName;
use crate::time::MonotonicTime;

/// Time after a message that was not answered after which its reports are sent again.
const RESEND_TIME: Duration = Duration::from_millis(300);

/// Reports to other routers.
#[derive(Debug)]
pub struct PendingReports<R> {
    hosts: HashMap<HostName, HostReports<R>>,
}

/// Reports to one router.
#[derive(Debug)]
struct HostReports<R> {
    waiting: Vec<PendingReport<R>>,
    /// Whether a message to it is on its way.
    is_sending: bool,
    /// Time until which nothing is sent to it, after a message was not answered.
    rests_until: Option<MonotonicTime>,
}

/// One report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingReport<R> {
    /// What is reported.
    pub report: R,
    /// When it was recorded.
    pub recorded_at: MonotonicTime,
    /// Time from which it is not sent again.
    pub until: MonotonicTime,
}

impl<R> Default for PendingReports<R> {
    fn default() -> Self {
        Self {
            hosts: HashMap::new(),
        }
    }
}

impl<R> Default for HostReports<R> {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            is_sending: false,
            rests_until: None,
        }
    }
}

impl<R> HostReports<R> {
    fn is_waiting(&self) -> bool {
        !self.is_sending && !self.waiting.is_empty()
    }

    fn is_due(&self, now: MonotonicTime) -> bool {
        self.is_waiting() && self.rests_until.is_none_or(|until| until <= now)
    }
}

impl<R> PendingReports<R> {
    /// Adds `report` to those for `host`.
    pub fn push(&mut self, host: &HostName, report: PendingReport<R>) {
        let reports = self.hosts.entry(host.clone()).or_default();
        reports.waiting.push(report);
    }

    /// Takes the reports of each router to which no message is on its way. What becomes of each message is to be recorded.
    pub fn take_due(&mut self, now: MonotonicTime) -> Vec<(HostName, Vec<PendingReport<R>>)> {
        let hosts = self.hosts.iter_mut();
        let due = hosts.filter(|(_, reports)| reports.is_due(now));
        due.map(|(host, reports)| {
            reports.is_sending = true;
            (host.clone(), std::mem::take(&mut reports.waiting))
        })
        .collect()
    }

    /// Time until the next reports are due that wait after a message that was not answered.
    pub fn rest_left(&self, now: MonotonicTime) -> Option<Duration> {
        let waiting = self.hosts.values().filter(|reports| reports.is_waiting());
        let ends = waiting.filter_map(|reports| reports.rests_until);
        ends.map(|end| end.since(now)).min()
    }

    /// Records that the message to `host` was answered.
    pub fn record_answer(&mut self, host: &HostName) {
        if let Some(reports) = self.hosts.get_mut(host) {
            reports.is_sending = false;
            reports.rests_until = None;
        }
        self.forget_idle();
    }

    /// Records that the message with `sent` to `host` was not answered.
    pub fn record_silence(
        &mut self,
        host: &HostName,
        mut sent: Vec<PendingReport<R>>,
        now: MonotonicTime,
    ) {
        if let Some(reports) = self.hosts.get_mut(host) {
            reports.is_sending = false;
            reports.rests_until = Some(now.after(RESEND_TIME));
            sent.append(&mut reports.waiting);
            sent.retain(|report| report.until > now);
            reports.waiting = sent;
        }
        self.forget_idle();
    }

    fn forget_idle(&mut self) {
        self.hosts
            .retain(|_, reports| reports.is_sending || !reports.waiting.is_empty());
    }
}
