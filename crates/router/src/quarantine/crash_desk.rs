//! Crashes and suspects of the fleet as this router knows them.

use ferry_decisions::names::HostName;
use ferry_decisions::quarantine::{CrashDelta, CrashPool};
use ferry_decisions::time::UnixMillis;
use ferry_kernel::wall_clock;
use parking_lot::Mutex;

use crate::core::RouterCore;
use crate::peer::PeerTopic;

/// The pool, shared by all requests.
#[derive(Debug)]
pub struct CrashDesk {
    state: Mutex<DeskState>,
}

#[derive(Debug)]
struct DeskState {
    pool: CrashPool,
    /// Revision of the pool up to which the peers were told.
    told: u64,
}

impl CrashDesk {
    /// The desk of the router on host `own`.
    pub fn new(own: HostName) -> Self {
        let pool = CrashPool::new(own);
        let state = Mutex::new(DeskState { pool, told: 0 });
        Self { state }
    }

    /// Runs `action` on the pool at the present time, and tells the peers at once what it changed.
    pub fn with<R>(
        &self,
        core: &RouterCore,
        action: impl FnOnce(&mut CrashPool, UnixMillis) -> R,
    ) -> R {
        let (result, delta) = {
            let mut state = self.state.lock();
            let result = action(&mut state.pool, wall_clock::now());
            (result, state.take_news())
        };
        if let Some(delta) = delta {
            core.hub().broadcast(PeerTopic::Quarantine, &delta);
        }
        result
    }

    /// Everything known, for peers that missed a change.
    pub fn whole(&self) -> CrashDelta {
        self.state.lock().pool.delta_since(0)
    }

    /// Number of quarantined requests.
    pub fn quarantined(&self) -> usize {
        let now = wall_clock::now();
        self.state.lock().pool.quarantined(now).count()
    }
}

impl DeskState {
    /// What the peers were not told yet.
    fn take_news(&mut self) -> Option<CrashDelta> {
        let revision = self.pool.revision();
        if revision == self.told {
            return None;
        }
        let delta = self.pool.delta_since(self.told);
        self.told = revision;
        (delta != CrashDelta::default()).then_some(delta)
    }
}
