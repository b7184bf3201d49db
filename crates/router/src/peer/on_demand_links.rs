//! Limits for links that are dialled only when a query is sent.

use std::sync::Arc;

use ferry_decisions::names::HostName;
use tokio::sync::{Mutex, MutexGuard, OwnedSemaphorePermit, Semaphore};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of on-demand links at once.
const LINK_LIMIT: usize = 64;
/// Number of locks that prevent concurrent dials of one host; hosts share them by hash.
const DIAL_LOCKS: usize = 16;

/// Dial locks and link permits of the on-demand links.
#[derive(Debug)]
pub struct OnDemandLinks {
    dial_locks: [Mutex<()>; DIAL_LOCKS],
    permits: Arc<Semaphore>,
}

impl Default for OnDemandLinks {
    fn default() -> Self {
        Self {
            dial_locks: std::array::from_fn(|_| Mutex::default()),
            permits: Arc::new(Semaphore::new(LINK_LIMIT)),
        }
    }
}

impl OnDemandLinks {
    /// Waits for the lock under which `host` is dialled.
    pub async fn dial_lock(&self, host: &HostName) -> MutexGuard<'_, ()> {
        let hash = xxh3_64(host.as_str().as_bytes());
        self.dial_locks[hash as usize % DIAL_LOCKS].lock().await
    }

    /// Permit for one more link, to be held while the link is up; `None` when all are in use.
    pub fn try_permit(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.permits).try_acquire_owned().ok()
    }
}
