//! Dials of links that are opened only when a query is sent, and their failures.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::names::HostName;
use futures::FutureExt;
use futures::future::{BoxFuture, Shared};
use parking_lot::Mutex;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

use super::PeerError;
use super::peer_link::PeerLink;

/// Maximum number of on-demand links at once.
const LINK_LIMIT: usize = 64;

/// Time after a dial without an answer in which queries to that host fail at once.
const SILENT_HOST_BACKOFF: Duration = Duration::from_secs(1);

/// Result of a dial, for all queries that wait for it.
pub type DialResult = Result<Arc<PeerLink>, Arc<PeerError>>;

/// A dial in progress, for all queries that wait for it.
pub type SharedDial = Shared<BoxFuture<'static, DialResult>>;

/// Dials of one router.
#[derive(Debug, Default)]
struct DialTable {
    /// At most one for each host. Queries to one host never wait for the dial of another.
    running: HashMap<HostName, SharedDial>,
    /// Hosts that did not answer a moment ago.
    silent: HashMap<HostName, SilentHost>,
}

/// A host that did not answer a dial.
#[derive(Debug)]
struct SilentHost {
    /// End of the time in which it is not dialled again.
    until: Instant,
    error: Arc<PeerError>,
}

/// Dials in progress, hosts that don't answer, and permits of the on-demand links.
#[derive(Debug)]
pub struct OnDemandLinks {
    dials: Mutex<DialTable>,
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
    ///
    /// # Errors
    ///
    /// Fails at once while the host has not answered another dial a moment ago, with the error of that one.
    pub fn join_dial(
        &self,
        host: &HostName,
        dial: impl FnOnce() -> BoxFuture<'static, DialResult>,
        spawn: impl FnOnce(SharedDial),
    ) -> Result<SharedDial, Arc<PeerError>> {
        let mut dials = self.dials.lock();
        if let Some(running) = dials.running.get(host) {
            return Ok(running.clone());
        }
        let silent = dials.silent.get(host);
        if let Some(silent) = silent.filter(|silent| Instant::now() < silent.until) {
            return Err(Arc::clone(&silent.error));
        }
        let begun = dial().shared();
        dials.running.insert(host.clone(), begun.clone());
        drop(dials);
        spawn(begun.clone());
        Ok(begun)
    }

    /// Records the end of the dial of `host`; one without an answer keeps the next ones from dialling for a moment. A refused connection doesn't:
    /// it costs no time, and the host may be back at once.
    pub fn end_dial(&self, host: &HostName, result: &DialResult) {
        let mut dials = self.dials.lock();
        dials.running.remove(host);
        let now = Instant::now();
        dials.silent.retain(|_, silent| now < silent.until);
        let Err(error) = result else {
            return;
        };
        if matches!(**error, PeerError::DialTimedOut) {
            let silent = SilentHost {
                until: now + SILENT_HOST_BACKOFF,
                error: Arc::clone(error),
            };
            dials.silent.insert(host.clone(), silent);
        }
    }

    /// Permit for one more link, to be held while the link is up; `None` when all are in use.
    pub fn try_permit(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.permits).try_acquire_owned().ok()
    }
}
