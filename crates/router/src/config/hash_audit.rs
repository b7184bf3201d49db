//! Alarm when two routers hold different configurations at one offset.

use ferry_decisions::membership::{ConfigPosition, MemberRow};
use ferry_decisions::names::HostName;
use parking_lot::Mutex;

/// Compares peers' marks with the own one; logs each difference once.
#[derive(Debug, Default)]
pub struct HashAudit {
    last: Mutex<Option<HashAlarm>>,
}

/// A difference that was reported.
#[derive(Debug, Clone, PartialEq, Eq)]
struct HashAlarm {
    host: HostName,
    offset: u64,
}

impl HashAudit {
    /// Raises the alarm if `row` has another state than `own` at the same offset.
    pub fn compare(&self, own: &ConfigPosition, row: &MemberRow) {
        if !own.contradicts(&row.config) {
            return;
        }
        metrics::counter!("ferry_config_hash_mismatches_total").increment(1);
        let alarm = HashAlarm {
            host: row.host.clone(),
            offset: own.next_offset,
        };
        let mut last = self.last.lock();
        if last.as_ref() != Some(&alarm) {
            spdlog::error!(
                "a router holds another configuration at the same offset; restart both and report it",
                kv: { peer = row.host.as_str(), next_offset = own.next_offset }
            );
        }
        *last = Some(alarm);
    }
}
