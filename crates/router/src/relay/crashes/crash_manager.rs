//! This router's view of the fleet's crash count.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};

use ferry_decisions::names::HostName;
use ferry_decisions::quarantine::{
    AnswerProof, CrashRow, CrashRowKey, CrashSubject, CrashTally, CrashVerdict, ReportedRows,
    RequestFingerprint, RowOrigin,
};
use ferry_decisions::registry::UpstreamIncarnation;
use ferry_kernel::wall_clock;
use parking_lot::Mutex;
use tokio::sync::Notify;

/// Maximum number of rows in one message or call.
const ROW_LIMIT: usize = 256;
/// Maximum number of rows that are not in the store in a message to a router that was chosen at random, and in the answer.
const NEWS_LIMIT: usize = 32;

/// Crash count, and the signal that rows have to be stored.
#[derive(Debug)]
pub struct CrashManager {
    /// This router, with its incarnation.
    router: String,
    tally: Mutex<CrashTally>,
    /// What the routers that this one syncs from have received.
    reported: Mutex<ReportedRows>,
    changed: Notify,
    /// Signal that there may be rows to be reported to the router that this one syncs from.
    recorded: Notify,
    /// Whether other routers were asked, after the start, for rows that may not be in the store.
    has_asked_others: AtomicBool,
}

impl CrashManager {
    /// A manager without crashes; `router` names this router and its incarnation.
    pub fn new(router: &str) -> Self {
        Self {
            router: router.to_owned(),
            tally: Mutex::new(CrashTally::new(router)),
            reported: Mutex::default(),
            changed: Notify::new(),
            recorded: Notify::new(),
            has_asked_others: AtomicBool::new(false),
        }
    }

    /// Records that other routers were asked, after the start, for rows that may not be in the store.
    pub fn record_asked_others(&self) {
        self.has_asked_others.store(true, Ordering::Release);
    }

    /// Whether other routers were asked, after the start, for rows that may not be in the store.
    pub fn has_asked_others(&self) -> bool {
        self.has_asked_others.load(Ordering::Acquire)
    }

    /// Records that `upstream` crashed while it ran the request, whose prompt has `parts` that others may share.
    pub fn record(
        &self,
        request: RequestFingerprint,
        parts: impl Iterator<Item = u64>,
        upstream: &UpstreamIncarnation,
    ) -> CrashVerdict {
        let now = wall_clock::now();
        let mut tally = self.tally.lock();
        let before = tally.guilty_parts().clone();
        let verdict = tally.record(request, upstream, now);
        parts.for_each(|part| tally.record_part(part, &request, upstream, now));
        log_guilty_parts(&before, &tally);
        self.changed.notify_waiters();
        self.recorded.notify_one();
        verdict
    }

    /// Records that `upstream` survived what this router counted as its crash.
    pub fn record_survival(&self, upstream: &UpstreamIncarnation) {
        let mut tally = self.tally.lock();
        let before = tally.guilty_parts().clone();
        let subjects = tally.record_survival(upstream);
        if subjects == 0 {
            return;
        }
        spdlog::info!("upstream was not crashed, its path was lost", kv: {
            upstream = upstream.id.as_str(),
            subjects = subjects,
        });
        log_guilty_parts(&before, &tally);
        self.changed.notify_waiters();
        self.recorded.notify_one();
    }

    /// Records an answer to the request that ended without a sign of a crash.
    pub fn record_answer(&self, request: RequestFingerprint) {
        let mut tally = self.tally.lock();
        if tally.record_answer(request, wall_clock::now()) {
            self.changed.notify_waiters();
        }
    }

    /// Records what an answer proves about the parts of its request's prompt that others may share.
    pub fn record_part_answers(&self, parts: impl Iterator<Item = u64>, proof: AnswerProof) {
        let now = wall_clock::now();
        let mut tally = self.tally.lock();
        let before = tally.guilty_parts().clone();
        let mut has_news = false;
        for part in parts {
            has_news |= tally.record_part_answer(part, proof, now);
        }
        if has_news {
            log_guilty_parts(&before, &tally);
            self.changed.notify_waiters();
        }
    }

    /// The first of `parts` that crashes upstreams, so that no request with it must run now.
    pub fn guilty_part(&self, mut parts: impl Iterator<Item = u64>) -> Option<u64> {
        let tally = self.tally.lock();
        let guilty = tally.guilty_parts();
        parts.find(|part| guilty.contains(part))
    }

    /// Whether no crash is known; a fingerprint is then not needed.
    pub fn is_empty(&self) -> bool {
        self.tally.lock().is_empty()
    }

    /// Number of requests and parts with crashes.
    pub fn subject_count(&self) -> usize {
        self.tally.lock().len()
    }

    /// Whether the request must not run now because of its content.
    pub fn is_quarantined(&self, request: &RequestFingerprint) -> bool {
        self.tally.lock().is_quarantined(request, wall_clock::now())
    }

    /// Number of upstreams that crashed under `subject`, in the whole fleet as known here.
    pub fn crashed(&self, subject: &CrashSubject) -> usize {
        self.tally.lock().crashed_by(subject)
    }

    /// Number of requests in quarantine.
    pub fn quarantined(&self) -> usize {
        self.tally.lock().quarantined(wall_clock::now())
    }

    /// Merges rows of other routers; returns whether a request or a part is quarantined by them.
    pub fn merge(&self, rows: Vec<CrashRow>, origin: RowOrigin) -> bool {
        if rows.is_empty() {
            return false;
        }
        let mut quarantines = false;
        let now = wall_clock::now();
        let mut tally = self.tally.lock();
        let guilty_before = tally.guilty_parts().clone();
        for row in rows {
            let (subject, router) = (row.key.subject, row.key.router.clone());
            let CrashSubject::Request(request) = subject else {
                tally.merge(row, origin, now);
                continue;
            };
            let before = tally.is_quarantined(&request, now);
            let is_news = tally.merge(row, origin, now);
            if is_news && !before && tally.is_quarantined(&request, now) {
                quarantines = true;
                spdlog::info!("request quarantined by another router", kv: {
                    router = router,
                    fingerprint = request.to_string(),
                    upstreams = tally.crashed(&request),
                });
            }
        }
        quarantines |= log_guilty_parts(&guilty_before, &tally);
        self.changed.notify_waiters();
        quarantines
    }

    /// Merges `rows`, all that the store has in a new era; the others are to be stored again. Returns whether a request or a part is
    /// quarantined by them.
    pub fn begin_era(&self, rows: Vec<CrashRow>) -> bool {
        self.tally.lock().forget_stored();
        let quarantines = self.merge(rows, RowOrigin::Store);
        self.changed.notify_waiters();
        self.recorded.notify_one();
        quarantines
    }

    /// Marks these versions of rows as being in the store.
    pub fn mark_stored(&self, rows: &[CrashRow]) {
        let mut tally = self.tally.lock();
        rows.iter().for_each(|row| tally.mark_stored(row));
    }

    /// Rows that are not in the store as they are here.
    pub fn unstored(&self) -> Vec<CrashRow> {
        self.tally.lock().unstored(ROW_LIMIT)
    }

    /// Rows that are not in the store as they are here, and that `router` has not received yet.
    pub fn unreported(&self, router: &HostName) -> Vec<CrashRow> {
        let reported = self.reported.lock();
        self.tally.lock().unreported(router, &reported, ROW_LIMIT)
    }

    /// Records that `router` has received `rows`.
    pub fn record_report(&self, router: &HostName, rows: &[CrashRow]) {
        if !rows.is_empty() {
            self.reported.lock().add(router, rows);
        }
    }

    /// Records that `router` answered as `incarnation`; another one than before gets all rows again.
    pub fn record_incarnation(&self, router: &HostName, incarnation: &str) {
        self.reported.lock().record_incarnation(router, incarnation);
    }

    /// Those of `rows` that are in the store as they are here, as they are here.
    pub fn stored_of(&self, rows: &[CrashRow]) -> Vec<CrashRow> {
        self.tally.lock().stored_of(rows)
    }

    /// Rows in the store of those of `subjects` that one more crash may quarantine.
    pub fn near_rows_of(&self, subjects: &BTreeSet<CrashSubject>) -> Vec<CrashRow> {
        self.tally.lock().near_rows_of(subjects)
    }

    /// Whether this router counts in `row`.
    pub fn is_own(&self, row: &CrashRow) -> bool {
        row.key.router == self.router
    }

    /// Some of the rows that are not in the store as they are here, for routers that were chosen at random.
    pub fn news(&self) -> Vec<CrashRow> {
        self.tally.lock().unstored(NEWS_LIMIT)
    }

    /// Rows in the store of subjects that one more crash may quarantine.
    pub fn near_rows(&self) -> Vec<CrashRow> {
        self.tally.lock().near_rows(ROW_LIMIT)
    }

    /// Waits until there are rows that are not in the store.
    pub async fn wait_for_unstored(&self) {
        self.wait_until(CrashTally::has_unstored).await;
    }

    /// Waits until such rows are about a request that is about to be quarantined.
    pub async fn wait_for_urgent(&self) {
        self.wait_until(CrashTally::has_urgent).await;
    }

    async fn wait_until(&self, condition: impl Fn(&CrashTally) -> bool) {
        loop {
            let changed = self.changed.notified();
            if condition(&self.tally.lock()) {
                return;
            }
            changed.await;
        }
    }

    /// Signals that there may be rows that the router that this one syncs from has not received.
    pub fn wake_report(&self) {
        if !self.is_empty() {
            self.recorded.notify_one();
        }
    }

    /// Waits until there may be rows to be reported to the router that this one syncs from.
    pub async fn wait_for_report(&self) {
        self.recorded.notified().await;
    }

    /// Removes requests whose crashes are long ago; returns the keys of rows to be removed from the store.
    pub fn expire(&self) -> Vec<CrashRowKey> {
        self.tally.lock().expire(wall_clock::now())
    }
}

/// Logs the parts that were put into quarantine, or released, since `before`; returns whether there are new ones.
fn log_guilty_parts(before: &BTreeSet<u64>, tally: &CrashTally) -> bool {
    let now = tally.guilty_parts();
    for part in now.difference(before) {
        spdlog::warn!("part of prompts quarantined", kv: {
            part = format!("{part:x}"),
            upstreams = tally.crashed_by(&CrashSubject::Part(*part)),
        });
    }
    for part in before.difference(now) {
        spdlog::info!("part of prompts released from quarantine", kv: { part = format!("{part:x}") });
    }
    now.difference(before).next().is_some()
}
