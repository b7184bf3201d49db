//! Bounds on the links that are dialled only when a host is asked something.

use std::sync::Arc;

use ferry_decisions::names::HostName;
use tokio::sync::{Mutex, MutexGuard, OwnedSemaphorePermit, Semaphore};
use xxhash_rust::xxh3::xxh3_64;

/// Most such links at once.
const LINK_LIMIT: usize = 64;
/// Locks by which one host is dialled once at a time.
const TURN_LOCKS: usize = 16;

/// Turns and places of such links.
#[derive(Debug)]
pub struct DemandLinks {
    turns: [Mutex<()>; TURN_LOCKS],
    places: Arc<Semaphore>,
}

impl Default for DemandLinks {
    fn default() -> Self {
        Self {
            turns: std::array::from_fn(|_| Mutex::default()),
            places: Arc::new(Semaphore::new(LINK_LIMIT)),
        }
    }
}

impl DemandLinks {
    /// Waits for the turn to dial `host`.
    pub async fn turn(&self, host: &HostName) -> MutexGuard<'_, ()> {
        let hash = xxh3_64(host.as_str().as_bytes());
        self.turns[hash as usize % TURN_LOCKS].lock().await
    }

    /// A place for one more link, held as long as the link is up; `None` when all are taken.
    pub fn place(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.places).try_acquire_owned().ok()
    }
}
