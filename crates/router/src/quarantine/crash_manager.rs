//! Upstream crashes and suspected requests of the fleet as known to this router.

use std::time::Duration;

use ferry_decisions::membership::HostHealth;
use ferry_decisions::names::HostName;
use ferry_decisions::quarantine::{CrashDelta, CrashPool, RequestFingerprint};
use ferry_decisions::time::UnixMillis;
use ferry_kernel::wall_clock;
use futures::future::join_all;
use parking_lot::Mutex;
use tokio::time::{Instant, sleep};

use crate::core::RouterCore;
use crate::peer::{Delivery, PeerTopic};

/// Longest time that a router waits until the other routers have merged what it knows of a suspect.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a router that could not be reached is asked again; a lost link is redialled after 50 ms at the earliest.
const ACKNOWLEDGE_RETRY_DELAY: Duration = Duration::from_millis(50);

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

    /// Sends all that is known of `fingerprint` to every live router, and waits until each has merged it and its reply is
    /// merged here. Returns whether all have, within [`ACKNOWLEDGE_TIMEOUT`].
    pub async fn inform_routers(
        &self,
        core: &RouterCore,
        fingerprint: &RequestFingerprint,
    ) -> bool {
        let delta = self.state.lock().pool.delta_of(fingerprint);
        let routers = core.members.known_routers().into_iter();
        let others = routers.filter(|known| {
            known.router.host != core.settings.host && known.health == HostHealth::Live
        });
        let delta = &delta;
        let sends = others.map(|known| async move {
            let is_informed = self.inform(core, &known.router.host, delta).await;
            if !is_informed {
                spdlog::info!("router did not acknowledge what is known of a suspected request", kv: {
                    peer = known.router.host.as_str(),
                    fingerprint = fingerprint.to_string(),
                });
            }
            is_informed
        });
        let informed = join_all(sends).await;
        informed.into_iter().all(|is_informed| is_informed)
    }

    async fn inform(&self, core: &RouterCore, host: &HostName, delta: &CrashDelta) -> bool {
        let end = Instant::now() + ACKNOWLEDGE_TIMEOUT;
        loop {
            let time_left = end.saturating_duration_since(Instant::now());
            let query = core.hub().send_query::<_, CrashDelta>(
                host,
                PeerTopic::Quarantine,
                delta,
                time_left,
            );
            match query.await {
                Ok(reply) => {
                    self.with(core, |pool, _| pool.merge(&reply));
                    return true;
                }
                // Builds that merge without a reply.
                Err(error) if error.delivery() == Delivery::Delivered => return true,
                Err(_) if Instant::now() + ACKNOWLEDGE_RETRY_DELAY >= end => return false,
                Err(_) => sleep(ACKNOWLEDGE_RETRY_DELAY).await,
            }
        }
    }

    /// Merges `delta` of another router; returns the reply to it.
    pub fn merge(&self, core: &RouterCore, delta: &CrashDelta) -> CrashDelta {
        self.with(core, |pool, _| {
            pool.merge(delta);
            pool.reply_to(delta)
        })
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
