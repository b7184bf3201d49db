//! An upstream that ends when it begins an answer to a request with certain prompt parts, and comes back later.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ferry_decisions::registry::UpstreamStage;
use ferry_decisions::time::UnixMillis;
use ferry_platform::entries::encode_upstream;
use ferry_platform::store::UPSTREAM_TOPIC;
use ferry_standin::replica::{ReplicaRun, RunStatus};
use ferry_standin::{ReplicaOptions, ReplicaStandin, StoreStandin};
use tokio::time::sleep;

use crate::LinkProxy;

/// Period of the checks for requests that crash the upstream.
const CHECK_PERIOD: Duration = Duration::from_millis(5);
/// Time from the arrival of such a request to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(30);
/// Time for which a crashed upstream is down.
const DOWN_TIME: Duration = Duration::from_millis(1_500);

/// What the port of a crashed upstream does while it is down.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum DownPort {
    /// It refuses connections.
    #[default]
    Refuses,
    /// A supervisor holds it, which accepts connections and closes them at once.
    Closes,
    /// A supervisor holds it, and the next process serves at once.
    Serves,
}

/// An upstream, whose process the stand-in emulates.
#[derive(Debug, Clone)]
pub struct CrashingUpstream {
    /// Stand-in of the upstream, which keeps its records over crashes.
    pub standin: ReplicaStandin,
    store: StoreStandin,
    crashing_parts: BTreeSet<u64>,
    down_port: DownPort,
    /// Listens for the upstream if its port stays open over crashes.
    supervisor: Option<LinkProxy>,
    /// Number of starts so far.
    starts: Arc<AtomicU64>,
}

impl CrashingUpstream {
    /// Starts and registers an upstream that requests with one of `crashing_parts` crash.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn start(
        store: &StoreStandin,
        options: ReplicaOptions,
        crashing_parts: &[u64],
        down_port: DownPort,
    ) -> io::Result<Self> {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let standin = ReplicaStandin::start(listen, options).await?;
        let supervisor = match down_port {
            DownPort::Refuses => None,
            DownPort::Closes | DownPort::Serves => {
                let proxy = LinkProxy::start(listen.ip()).await?;
                proxy.set_target(standin.address());
                Some(proxy)
            }
        };
        let upstream = Self {
            standin,
            store: store.clone(),
            crashing_parts: crashing_parts.iter().copied().collect(),
            down_port,
            supervisor,
            starts: Arc::new(AtomicU64::new(0)),
        };
        upstream.register();
        Ok(upstream)
    }

    /// Crashes the upstream and brings it back whenever it has begun such a request, until the future is dropped.
    pub async fn supervise(self) {
        let mut seen = 0;
        loop {
            if self.crashing_runs().len() > seen {
                sleep(CRASH_DELAY).await;
                self.crash().await;
                seen = self.crashing_runs().len();
            }
            sleep(CHECK_PERIOD).await;
        }
    }

    /// Ends the upstream, and brings it back under its id after its down time.
    pub async fn crash(&self) {
        if let Some(supervisor) = &self.supervisor {
            supervisor.cut();
        }
        self.standin.crash().await;
        if self.down_port != DownPort::Serves {
            sleep(DOWN_TIME).await;
        }
        self.standin.restart().await;
        if let Some(supervisor) = &self.supervisor {
            supervisor.heal();
        }
        self.register();
    }

    /// Requests that crashed the upstream, or may have.
    pub fn crashing_runs(&self) -> Vec<ReplicaRun> {
        let mut runs = self.standin.runs();
        runs.retain(|run| run.status != RunStatus::Refused && self.is_crashing(run));
        runs
    }

    fn is_crashing(&self, run: &ReplicaRun) -> bool {
        let mut parts = run.request.prompt.shareable_parts();
        parts.any(|part| self.crashing_parts.contains(&part))
    }

    fn register(&self) {
        let starts = self.starts.fetch_add(1, Ordering::Relaxed) + 1;
        let mut record = self.standin.record(UpstreamStage::Ready, 1);
        record.incarnation.started_at = Some(UnixMillis(starts));
        if let Some(supervisor) = &self.supervisor {
            record.address = supervisor.address;
        }
        let id = record.incarnation.id.to_string();
        self.store
            .put(UPSTREAM_TOPIC, &id, &encode_upstream(&record));
    }
}
