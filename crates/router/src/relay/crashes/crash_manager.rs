//! This router's view of the fleet's crash count.

use ferry_decisions::quarantine::{
    CrashRow, CrashRowKey, CrashTally, CrashVerdict, RequestFingerprint, RowOrigin,
};
use ferry_decisions::registry::UpstreamIncarnation;
use ferry_kernel::wall_clock;
use parking_lot::Mutex;
use tokio::sync::Notify;

/// Maximum number of rows in one message or call.
const ROW_LIMIT: usize = 256;

/// Crash count, and the signal that rows have to be stored.
#[derive(Debug)]
pub struct CrashManager {
    /// This router, with its incarnation.
    router: String,
    tally: Mutex<CrashTally>,
    changed: Notify,
    /// Signal that this router saw a crash.
    recorded: Notify,
}

impl CrashManager {
    /// A manager without crashes; `router` names this router and its incarnation.
    pub fn new(router: &str) -> Self {
        Self {
            router: router.to_owned(),
            tally: Mutex::new(CrashTally::new(router)),
            changed: Notify::new(),
            recorded: Notify::new(),
        }
    }

    /// Records that `upstream` crashed while it ran the request.
    pub fn record(
        &self,
        request: RequestFingerprint,
        upstream: &UpstreamIncarnation,
    ) -> CrashVerdict {
        let mut tally = self.tally.lock();
        let verdict = tally.record(request, upstream, wall_clock::now());
        self.changed.notify_waiters();
        self.recorded.notify_one();
        verdict
    }

    /// Records a complete answer to the request.
    pub fn record_answer(&self, request: RequestFingerprint) {
        let mut tally = self.tally.lock();
        if tally.record_answer(request, wall_clock::now()) {
            self.changed.notify_waiters();
        }
    }

    /// Whether no crash is known; a fingerprint is then not needed.
    pub fn is_empty(&self) -> bool {
        self.tally.lock().is_empty()
    }

    /// Whether the request must not run now.
    pub fn is_quarantined(&self, request: &RequestFingerprint) -> bool {
        self.tally.lock().is_quarantined(request, wall_clock::now())
    }

    /// Number of upstreams that the request crashed, in the whole fleet as known here.
    pub fn crashed(&self, request: &RequestFingerprint) -> usize {
        self.tally.lock().crashed(request)
    }

    /// Number of requests in quarantine.
    pub fn quarantined(&self) -> usize {
        self.tally.lock().quarantined(wall_clock::now())
    }

    /// Merges rows of other routers; returns whether a request is quarantined by them.
    pub fn merge(&self, rows: Vec<CrashRow>, origin: RowOrigin) -> bool {
        if rows.is_empty() {
            return false;
        }
        let mut quarantines = false;
        let now = wall_clock::now();
        let mut tally = self.tally.lock();
        for row in rows {
            let (request, router) = (row.key.request, row.key.router.clone());
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
        self.changed.notify_waiters();
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

    /// Whether this router counts in `row`.
    pub fn is_own(&self, row: &CrashRow) -> bool {
        row.key.router == self.router
    }

    /// All rows.
    pub fn rows(&self) -> Vec<CrashRow> {
        self.tally.lock().rows(ROW_LIMIT)
    }

    /// Waits until there are rows that are not in the store.
    pub async fn wait_for_unstored(&self) {
        self.wait_until(|tally| !tally.unstored(1).is_empty()).await;
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

    /// Waits until this router has seen a crash since the last call.
    pub async fn wait_for_crash(&self) {
        self.recorded.notified().await;
    }

    /// Removes requests whose crashes are long ago; returns the keys of rows to be removed from the store.
    pub fn expire(&self) -> Vec<CrashRowKey> {
        self.tally.lock().expire(wall_clock::now())
    }
}
