//! Connected routers in one process, with a stand-in of the platform.

use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::bill::{BillEntry, BillFold, BillOutcome, LedgerReport, bill_stream};
use ferry_decisions::claim::{RequestKey, SHARD_COUNT, owner_of, shard_of};
use ferry_decisions::names::{HostName, RequestId, VersionName, WorkspaceName};
use ferry_kernel::wall_clock;
use ferry_platform::hosts::{HostEntry, HostRole, HostState};
use ferry_platform::log::LogClient;
use ferry_router::bills;
use ferry_router::core::RouterCore;
use ferry_router::daemon::RouterDaemon;
use ferry_router::peer::PeerTopic;
use ferry_router::settings::RouterSettings;
use ferry_standin::faults::{OutageAnswer, OutageOrder};
use ferry_standin::{FaultOrder, PlatformOptions, PlatformStandin};
use tokio::time::timeout;

/// Longest time to wait for a condition or call before the test fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Time to wait before a test asserts that something has not happened.
pub const OBSERVATION_TIME: Duration = Duration::from_millis(1_500);

/// Connected routers, each in its own availability zone.
pub struct LinkedRouters {
    pub platform: PlatformStandin,
    pub routers: Vec<RouterDaemon>,
}

impl LinkedRouters {
    pub async fn start(count: usize) -> Self {
        let options = PlatformOptions {
            hosts_lag: Duration::ZERO,
            ..PlatformOptions::default()
        };
        let platform = PlatformStandin::start(options).await.unwrap();
        let mut routers = Vec::new();
        for index in 0..count {
            let router = start_router(&platform.url(), index).await;
            platform.put_host(entry_of(index, &router));
            routers.push(router);
        }
        let linked = Self { platform, routers };
        linked.link().await;
        linked
    }

    /// Connects all routers, and waits until each is connected to the others and lists all as live.
    async fn link(&self) {
        let neighbours: Vec<_> = self
            .routers
            .iter()
            .map(|router| (router.core().settings.host.clone(), router.peers_address()))
            .collect();
        for router in &self.routers {
            router.core().hub().set_neighbours(&neighbours);
        }
        let count = self.routers.len();
        for router in &self.routers {
            let core = router.core();
            wait_until(|| core.hub().connected().len() >= count - 1).await;
            wait_until(|| core.members.live().len() >= count).await;
        }
    }

    pub fn core(&self, index: usize) -> &Arc<RouterCore> {
        self.routers[index].core()
    }

    /// Lets the log answer every call with an error until [`Self::clear_faults`].
    pub fn start_log_outage(&self) {
        self.platform.set_faults(FaultOrder {
            outage: Some(OutageOrder {
                answer: OutageAnswer::Unavailable,
                path: "/streams/".to_owned(),
            }),
            ..FaultOrder::default()
        });
    }

    pub fn clear_faults(&self) {
        self.platform.set_faults(FaultOrder::default());
    }

    /// Stops router `index` abruptly: its bills and copies are not transferred.
    pub async fn kill(&self, index: usize) {
        let core = self.core(index);
        core.closing.cancel();
        core.hub().stop().await;
    }

    /// Ledger of the bills that are on the log now.
    async fn ledger(&self) -> LedgerReport {
        let log = LogClient::new(&self.platform.url(), TEST_TIMEOUT);
        let mut folds = Vec::new();
        for shard in 0..SHARD_COUNT {
            let mut fold = BillFold::new(shard);
            let stream = bill_stream(shard);
            let page = log.read(&stream, 0, 10_000, Duration::ZERO).await;
            for record in page.unwrap().records {
                fold.apply(record.offset, record.time, &record.data);
            }
            folds.push(fold);
        }
        LedgerReport::from_folds(&folds)
    }

    /// Waits until at least `count` requests are billed, and returns the ledger.
    pub async fn wait_until_billed(&self, count: u64) -> LedgerReport {
        timeout(TEST_TIMEOUT, async {
            loop {
                let report = self.ledger().await;
                let billed: u64 = report.workspaces.values().map(|t| t.requests).sum();
                if billed >= count {
                    return report;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        })
        .await
        .expect("the bills reach the log in time")
    }
}

pub async fn start_router(platform: &str, index: usize) -> RouterDaemon {
    let text = format!(
        "host: router-{index}
zone: zone-{index}
listen: {{callers: '127.0.0.1:0', admin: '127.0.0.1:0', peers: '127.0.0.1:0'}}
platform: {{url: '{platform}'}}
secrets:
  peers: test-peer-secret-0123456789
  admin_token: test-admin-token-0123456789
  session_keys: [{{id: k1, secret: test-session-secret-0123}}]
"
    );
    let settings = RouterSettings::parse("test.yaml", &text).unwrap();
    RouterDaemon::start(settings).await.unwrap()
}

fn entry_of(index: usize, router: &RouterDaemon) -> HostEntry {
    HostEntry {
        name: HostName::new(&format!("router-{index}")),
        zone: format!("zone-{index}").as_str().into(),
        role: HostRole::Router,
        state: HostState::Live,
        address: router.peers_address().to_string(),
        versions: Vec::new(),
        service: None,
    }
}

pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    timeout(TEST_TIMEOUT, async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await
    .expect("the condition holds in time");
}

pub fn new_key() -> RequestKey {
    RequestKey::new(&WorkspaceName::new("clinic"), &RequestId::generate())
}

pub fn bill_of(key: &RequestKey) -> BillEntry {
    BillEntry {
        request: key.request.clone(),
        workspace: key.workspace.clone(),
        version: VersionName::new("small-1"),
        prompt_tokens: 3,
        completion_tokens: 5,
        cost: 7,
        outcome: BillOutcome::Answered,
        router: HostName::new("router-0"),
        time: wall_clock::now(),
    }
}

/// Releases `bill` at `core`; panics after [`TEST_TIMEOUT`].
pub async fn release(core: &Arc<RouterCore>, bill: BillEntry) {
    timeout(TEST_TIMEOUT, bills::release(core, bill))
        .await
        .expect("the bill is released in time");
}

/// A key whose shard is owned by router `index` of `count`.
pub fn key_owned_by(index: usize, count: usize) -> RequestKey {
    let hosts: Vec<_> = (0..count)
        .map(|host| HostName::new(&format!("router-{host}")))
        .collect();
    std::iter::repeat_with(new_key)
        .find(|key| owner_of(shard_of(&key.request), &hosts) == Some(&hosts[index]))
        .unwrap()
}

/// Number of bill copies that router `index` holds.
pub fn copies_at(linked: &LinkedRouters, index: usize) -> u64 {
    count_at(linked, index, PeerTopic::Bills, "copies_held")
}

/// Number of claims and voids at router `index` that are not yet in a batch.
pub fn waiting_claims(linked: &LinkedRouters, index: usize) -> u64 {
    count_at(linked, index, PeerTopic::Claims, "waiting")
}

/// Value of the number `field` in the status view of the plug-in for `topic`.
fn count_at(linked: &LinkedRouters, index: usize, topic: PeerTopic, field: &str) -> u64 {
    let plugin = ferry_router::plugin::all()
        .find(|plugin| plugin.topics.contains(&topic))
        .unwrap();
    (plugin.view)(linked.core(index))[field].as_u64().unwrap()
}
