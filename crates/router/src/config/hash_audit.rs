//! Detects routers that hold different configurations at the same offset.

use ferry_decisions::membership::{ConfigPosition, MemberRow};
use ferry_decisions::names::HostName;
use parking_lot::Mutex;

/// Compares the configuration positions of peers with this router's. Every mismatch is counted, and
/// logged unless it repeats the last one.
#[derive(Debug, Default)]
pub struct HashAudit {
    last: Mutex<Option<HashMismatch>>,
}

/// Host and offset of a mismatch.
#[derive(Debug, Clone, PartialEq, Eq)]
struct HashMismatch {
    host: HostName,
    offset: u64,
}

impl HashAudit {
    /// Counts and logs a mismatch if `row` has another state than `own` at the same offset.
    pub fn compare(&self, own: &ConfigPosition, row: &MemberRow) {
        if !own.contradicts(&row.config) {
            return;
        }
        metrics::counter!("ferry_config_hash_mismatches_total").increment(1);
        let mismatch = HashMismatch {
            host: row.host.clone(),
            offset: own.next_offset,
        };
        let mut last = self.last.lock();
        if last.as_ref() != Some(&mismatch) {
            spdlog::error!(
                "a peer holds a different configuration at the same offset; restart both routers and report it",
                kv: { peer = row.host.as_str(), next_offset = own.next_offset }
            );
        }
        *last = Some(mismatch);
    }
}
