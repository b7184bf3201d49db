//! Upstream crashes and suspected requests of the fleet as known to this router.

use ferry_decisions::names::HostName;
use ferry_decisions::quarantine::{CrashDelta, CrashPool};
use ferry_decisions::time::UnixMillis;
use ferry_kernel::wall_clock;
use parking_lot::Mutex;

use crate::core::RouterCore;
use crate::peer::PeerTopic;

/// Crash pool of this router, shared by all requests.
#[derive(Debug)]
pub struct CrashManager {
    state: Mutex<CrashState>,
}

#[derive(Debug)]
struct CrashState {
    pool: CrashPool,
    /// Revision of the pool up to which changes were sent to the peers.
    reported_revision: u64,
}

impl CrashManager {
    /// Creates the manager of the router on host `own`, with an empty pool.
    pub fn new(own: HostName) -> Self {
        let pool = CrashPool::new(own);
        let state = Mutex::new(CrashState {
            pool,
            reported_revision: 0,
        });
        Self { state }
    }

    /// Runs `action` on the pool at the current time, and sends its changes to the peers at once.
    pub fn with<R>(
        &self,
        core: &RouterCore,
        action: impl FnOnce(&mut CrashPool, UnixMillis) -> R,
    ) -> R {
        let (result, delta) = {
            let mut state = self.state.lock();
            let result = action(&mut state.pool, wall_clock::now());
            (result, state.take_unreported())
        };
        if let Some(delta) = delta {
            core.hub().broadcast(PeerTopic::Quarantine, &delta);
        }
        result
    }

    /// All known crashes and suspects, for peers that missed a change.
    pub fn full_delta(&self) -> CrashDelta {
        self.state.lock().pool.delta_since(0)
    }

    /// Number of quarantined requests.
    pub fn quarantined(&self) -> usize {
        let now = wall_clock::now();
        self.state.lock().pool.quarantined(now).count()
    }
}

impl CrashState {
    /// Changes that were not sent to the peers yet.
    fn take_unreported(&mut self) -> Option<CrashDelta> {
        let revision = self.pool.revision();
        if revision == self.reported_revision {
            return None;
        }
        let delta = self.pool.delta_since(self.reported_revision);
        self.reported_revision = revision;
        (delta != CrashDelta::default()).then_some(delta)
    }
}
