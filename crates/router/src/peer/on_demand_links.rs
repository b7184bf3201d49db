//! Limits for links that are dialled only when a query is sent.

use std::collections::HashMap;
use std::sync::Arc;

use ferry_decisions::names::HostName;
use futures::FutureExt;
use futures::future::{BoxFuture, Shared};
use parking_lot::Mutex;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::PeerError;
use super::peer_link::PeerLink;

/// Maximum number of on-demand links at once.
const LINK_LIMIT: usize = 64;

/// Result of a dial, for all queries that wait for it.
pub type DialResult = Result<Arc<PeerLink>, Arc<PeerError>>;

/// A dial in progress, for all queries that wait for it.
pub type SharedDial = Shared<BoxFuture<'static, DialResult>>;

/// Dials in progress and permits of the on-demand links.
#[derive(Debug)]
pub struct OnDemandLinks {
    /// At most one for each host. Queries to one host never wait for the dial of another.
    dials: Mutex<HashMap<HostName, SharedDial>>,
    permits: Arc<Semaphore>,
}

impl Default for OnDemandLinks {
    fn default() -> Self {
        Self {
            dials: Mutex::default(),
            permits: Arc::new(Semaphore::new(LINK_LIMIT)),
        }
    }
}

impl OnDemandLinks {
    /// The dial of `host` in progress; begins `dial` and passes it to `spawn` if there is none, so that it goes on whoever waits for it.
    ///
    /// `dial` must call [`Self::end_dial`] at its end.
    pub fn join_dial(
        &self,
        host: &HostName,
        dial: impl FnOnce() -> BoxFuture<'static, DialResult>,
        spawn: impl FnOnce(SharedDial),
    ) -> SharedDial {
        let mut dials = self.dials.lock();
        if let Some(running) = dials.get(host) {
            return running.clone();
        }
        let begun = dial().shared();
        dials.insert(host.clone(), begun.clone());
        drop(dials);
        spawn(begun.clone());
        begun
    }

    /// Forgets the dial of `host`, which has ended; the next query that finds no link begins another one.
    pub fn end_dial(&self, host: &HostName) {
        self.dials.lock().remove(host);
    }

    /// Permit for one more link, to be held while the link is up; `None` when all are in use.
    pub fn try_permit(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.permits).try_acquire_owned().ok()
    }
}
