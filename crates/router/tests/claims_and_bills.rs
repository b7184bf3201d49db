//! Claims and bills between linked routers, with faults of the log.

use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::bill::{BillEntry, BillFold, BillOutcome, LedgerReport, bill_stream};
use ferry_decisions::claim::{RequestKey, SHARD_COUNT, owner_of, shard_of};
use ferry_decisions::names::{HostName, RequestId, VersionName, WorkspaceName};
use ferry_kernel::wall_clock;
use ferry_platform::hosts::{HostEntry, HostRole, HostState};
use ferry_platform::log::LogClient;
use ferry_router::claims::{ClaimProblem, ClaimStart, JoinedAnswer, claim, claim_or_join, void};
use ferry_router::core::RouterCore;
use ferry_router::daemon::RouterDaemon;
use ferry_router::dispatch::ServiceAnswer;
use ferry_router::settings::RouterSettings;
use ferry_router::{bills, peer::PeerTopic};
use ferry_standin::faults::{AnswerLoss, OutageAnswer, OutageOrder};
use ferry_standin::{FaultOrder, PlatformOptions, PlatformStandin};
use futures::future::join_all;
use hyper::{HeaderMap, StatusCode};
use tokio::time::{Instant, timeout};

const LIMIT: Duration = Duration::from_secs(60);
/// Time in which something that must not happen would have happened.
const QUIET: Duration = Duration::from_millis(1_500);

/// Routers in different availability zones, linked to one another.
struct LinkedRouters {
    platform: PlatformStandin,
    routers: Vec<RouterDaemon>,
}

impl LinkedRouters {
    async fn start(count: usize) -> Self {
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

    /// Links all routers, and waits until each lists and hears all.
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
            until(|| core.hub().connected().len() >= count - 1).await;
            until(|| core.members.live().len() >= count).await;
        }
    }

    fn core(&self, index: usize) -> &Arc<RouterCore> {
        self.routers[index].core()
    }

    fn log_outage(&self) {
        self.platform.set_faults(FaultOrder {
            outage: Some(OutageOrder {
                answer: OutageAnswer::Unavailable,
                path: "/streams/".to_owned(),
            }),
            ..FaultOrder::default()
        });
    }

    fn heal(&self) {
        self.platform.set_faults(FaultOrder::default());
    }

    /// Ends router `index` without any hand-over.
    async fn kill(&self, index: usize) {
        let core = self.core(index);
        core.closing.cancel();
        core.hub().stop().await;
    }

    async fn ledger(&self) -> LedgerReport {
        let log = LogClient::new(&self.platform.url(), LIMIT);
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
        LedgerReport::over(&folds)
    }

    async fn until_billed(&self, count: u64) -> LedgerReport {
        timeout(LIMIT, async {
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

async fn start_router(platform: &str, index: usize) -> RouterDaemon {
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

async fn until(mut condition: impl FnMut() -> bool) {
    timeout(LIMIT, async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await
    .expect("the condition holds in time");
}

fn new_key() -> RequestKey {
    RequestKey::new(&WorkspaceName::new("clinic"), &RequestId::generate())
}

fn bill_of(key: &RequestKey) -> BillEntry {
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

/// Releases `bill` at `core`, which must not take for ever.
async fn release(core: &Arc<RouterCore>, bill: BillEntry) {
    timeout(LIMIT, bills::release(core, bill))
        .await
        .expect("the bill is released in time");
}

/// A key whose shard router `index` of `count` owns.
fn key_owned_by(index: usize, count: usize) -> RequestKey {
    let hosts: Vec<_> = (0..count)
        .map(|host| HostName::new(&format!("router-{host}")))
        .collect();
    std::iter::repeat_with(new_key)
        .find(|key| owner_of(shard_of(&key.request), &hosts) == Some(&hosts[index]))
        .unwrap()
}

#[tokio::test]
async fn claims_of_all_routers_are_granted_once_and_batched_by_the_owner() {
    let linked = LinkedRouters::start(3).await;
    let first = key_owned_by(1, 3);
    let shard = shard_of(&first.request);
    let keys: Vec<_> = std::iter::repeat_with(new_key)
        .filter(|key| shard_of(&key.request) == shard)
        .take(40)
        .collect();
    let before = linked.platform.counters().appends;
    let asked = keys
        .iter()
        .flat_map(|key| (0..3).map(|index| claim(linked.core(index), key)));
    let results = join_all(asked).await;
    for results in results.chunks(3) {
        assert_eq!(results.iter().filter(|result| result.is_ok()).count(), 1);
        let refused = results.iter().filter_map(|result| result.as_ref().err());
        for problem in refused {
            assert_eq!(*problem, ClaimProblem::MayHaveRun);
        }
    }
    let appends = linked.platform.counters().appends - before;
    assert!(appends <= 10, "{appends} appends for 40 requests");
}

#[tokio::test]
async fn a_second_send_joins_the_run_of_another_router() {
    let linked = LinkedRouters::start(3).await;
    let key = new_key();
    let deadline = Instant::now() + LIMIT;
    let start = claim_or_join(linked.core(0), &key, deadline).await;
    let Ok(ClaimStart::Granted(_, ticket)) = start else {
        panic!("the first claim is granted");
    };
    let answer = ServiceAnswer {
        status: StatusCode::CREATED,
        headers: HeaderMap::new(),
        body: "sent".into(),
    };
    let joins = (0..3).map(|index| claim_or_join(linked.core(index), &key, deadline));
    let finish = async {
        tokio::time::sleep(QUIET).await;
        ticket.finish(JoinedAnswer::of(&answer));
    };
    let (joined, ()) = tokio::join!(join_all(joins), finish);
    for start in joined {
        let Ok(ClaimStart::Joined(joined)) = start else {
            panic!("the second sends join");
        };
        assert_eq!(joined, JoinedAnswer::of(&answer));
    }
}

#[tokio::test]
async fn a_run_that_ends_without_an_answer_leaves_second_sends_in_doubt() {
    let linked = LinkedRouters::start(2).await;
    let key = new_key();
    let deadline = Instant::now() + LIMIT;
    let start = claim_or_join(linked.core(0), &key, deadline).await.ok();
    let drop_it = async {
        tokio::time::sleep(QUIET).await;
        drop(start);
    };
    let (second, ()) = tokio::join!(claim_or_join(linked.core(1), &key, deadline), drop_it);
    assert_eq!(second.err(), Some(ClaimProblem::MayHaveRun));
}

#[tokio::test]
async fn a_voided_id_can_be_claimed_again_elsewhere() {
    let linked = LinkedRouters::start(3).await;
    let key = new_key();
    let grant = claim(linked.core(0), &key).await.unwrap();
    assert_eq!(
        claim(linked.core(1), &key).await,
        Err(ClaimProblem::MayHaveRun)
    );
    void(linked.core(0), &grant).await.unwrap();
    claim(linked.core(1), &key).await.unwrap();
}

#[tokio::test]
async fn lost_answers_of_appends_change_nothing() {
    let linked = LinkedRouters::start(3).await;
    linked.platform.set_faults(FaultOrder {
        lose_answers: Some(AnswerLoss {
            count: 6,
            path: "/streams/".to_owned(),
        }),
        ..FaultOrder::default()
    });
    let keys: Vec<_> = (0..6).map(|index| key_owned_by(index % 3, 3)).collect();
    for (index, key) in keys.iter().enumerate() {
        claim(linked.core(index % 3), key).await.unwrap();
        release(linked.core(index % 3), bill_of(key)).await;
        let again = claim(linked.core((index + 1) % 3), key).await;
        assert_eq!(again, Err(ClaimProblem::Ran));
    }
    let report = linked.until_billed(6).await;
    assert_eq!(report.workspaces["clinic"].requests, 6);
    assert!(!report.counts.need_attention());
}

#[tokio::test]
async fn a_new_owner_reads_the_window_back() {
    let mut linked = LinkedRouters::start(1).await;
    let [open, billed] = [new_key(), new_key()];
    claim(linked.core(0), &open).await.unwrap();
    claim(linked.core(0), &billed).await.unwrap();
    release(linked.core(0), bill_of(&billed)).await;
    linked.kill(0).await;
    let fresh = start_router(&linked.platform.url(), 1).await;
    linked.routers.push(fresh);
    assert_eq!(
        claim(linked.core(1), &open).await,
        Err(ClaimProblem::MayHaveRun)
    );
    assert_eq!(claim(linked.core(1), &billed).await, Err(ClaimProblem::Ran));
}

#[tokio::test]
async fn a_claim_refused_in_a_log_outage_leaves_its_id_free() {
    let linked = LinkedRouters::start(3).await;
    let key = new_key();
    linked.log_outage();
    let refused = claim(linked.core(0), &key).await.unwrap_err();
    assert!(matches!(refused, ClaimProblem::LogOut { .. }));
    linked.heal();
    until(|| linked.core(0).claims.open_voids() == 0).await;
    until(|| !linked.core(1).appends.is_out()).await;
    claim(linked.core(1), &key).await.unwrap();
}

#[tokio::test]
async fn bills_outlive_their_router_in_a_log_outage_and_count_once() {
    let linked = LinkedRouters::start(4).await;
    linked.log_outage();
    let keys: Vec<_> = (0..30).map(|_| new_key()).collect();
    let released = keys
        .iter()
        .map(|key| bills::release(linked.core(0), bill_of(key)));
    timeout(LIMIT, join_all(released)).await.unwrap();
    assert_eq!(linked.core(0).bills.at_risk(), 0);
    linked.kill(0).await;
    linked.heal();
    let report = linked.until_billed(30).await;
    assert_eq!(report.workspaces["clinic"].requests, 30);
    assert!(!report.counts.need_attention(), "{:?}", report.anomalies);
}

#[tokio::test]
async fn without_peers_a_bill_is_released_only_by_the_log() {
    let linked = LinkedRouters::start(1).await;
    linked.log_outage();
    let bill = bill_of(&new_key());
    let core = Arc::clone(linked.core(0));
    let release = tokio::spawn(async move { bills::release(&core, bill).await });
    tokio::time::sleep(QUIET).await;
    assert!(!release.is_finished());
    let core = Arc::clone(linked.core(0));
    let drain = tokio::spawn(async move { bills::drain(&core).await });
    tokio::time::sleep(QUIET).await;
    assert!(!drain.is_finished());
    linked.heal();
    timeout(LIMIT, async { release.await.and(drain.await) })
        .await
        .unwrap()
        .unwrap();
    linked.until_billed(1).await;
}

#[tokio::test]
async fn copies_that_a_stopping_router_holds_are_handed_over() {
    let linked = LinkedRouters::start(4).await;
    linked.log_outage();
    let key = new_key();
    release(linked.core(0), bill_of(&key)).await;
    linked.kill(0).await;
    let views: Vec<_> = (1..4).map(|index| copies_at(&linked, index)).collect();
    assert_eq!(views.iter().sum::<u64>(), 2);
    let holder = 1 + views.iter().position(|copies| *copies == 1).unwrap();
    until(|| linked.core(holder).appends.is_out()).await;
    timeout(LIMIT, bills::drain(linked.core(holder)))
        .await
        .unwrap();
    linked.kill(holder).await;
    linked.heal();
    let report = linked.until_billed(1).await;
    assert_eq!(report.workspaces["clinic"].requests, 1);
}

/// Prints the time that claims and bills add, with the log up and in an outage.
#[tokio::test]
async fn claims_and_bills_of_a_steady_load_stay_within_the_budget() {
    const PAUSE: Duration = Duration::from_millis(20);
    let linked = LinkedRouters::start(4).await;
    let started = Instant::now();
    let before = linked.platform.counters().appends;
    let (mut claims, mut bills_up, mut bills_out) = (Vec::new(), Vec::new(), Vec::new());
    for index in 0..200 {
        let (core, key) = (linked.core(index % 4), new_key());
        let asked = Instant::now();
        claim(core, &key).await.unwrap();
        claims.push(asked.elapsed());
        let asked = Instant::now();
        release(core, bill_of(&key)).await;
        bills_up.push(asked.elapsed());
        tokio::time::sleep(PAUSE).await;
    }
    let seconds = started.elapsed().as_secs_f64();
    let appends = linked.platform.counters().appends - before;
    linked.log_outage();
    for index in 0..30 {
        let asked = Instant::now();
        release(linked.core(index % 4), bill_of(&new_key())).await;
        bills_out.push(asked.elapsed());
    }
    linked.heal();
    linked.until_billed(230).await;
    println!("claim, log up: {}", percentiles(&mut claims));
    println!("bill, log up: {}", percentiles(&mut bills_up));
    println!("bill, log out: {}", percentiles(&mut bills_out));
    println!("appends a second: {:.1}", appends as f64 / seconds);
    assert!(appends as f64 <= 200.0 * (seconds + 1.0));
}

fn percentiles(times: &mut [Duration]) -> String {
    times.sort_unstable();
    let at = |hundredth: usize| times[(times.len() - 1) * hundredth / 100];
    format!("p50 {:?} p99 {:?} max {:?}", at(50), at(99), at(100))
}

fn copies_at(linked: &LinkedRouters, index: usize) -> u64 {
    let plugin = ferry_router::plugin::all()
        .find(|plugin| plugin.topics.contains(&PeerTopic::Bills))
        .unwrap();
    (plugin.view)(linked.core(index))["copies_held"]
        .as_u64()
        .unwrap()
}
