//! Upstreams that name the requests per second that they take from all routers together.

use std::time::Duration;

use ferry_decisions::ruleset::{RouteRule, RunKind};
use ferry_router::relay::RelayDaemon;
use ferry_standin::replica::RunStatus;
use ferry_standin::{ReplicaPlan, ReplicaStandin};
use hyper::StatusCode;
use hyper::header::RETRY_AFTER;
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::deployment::{CollectedResponse, Deployment, call, eventually, is_ready, request, rule};

/// Time after which the limit that an upstream named must be kept.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Span in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Multiple of what the limit allows that may arrive in a window.
const WINDOW_FACTOR: f64 = 1.5;
/// Number of requests that may arrive beyond that.
const WINDOW_EXTRA: f64 = 5.0;
/// Time for which load is sent after the contact time.
const LOAD_TIME: Duration = Duration::from_secs(9);
/// Pause between two requests of the load.
const LOAD_PAUSE: Duration = Duration::from_millis(25);
/// Time in which a request that cannot be served must be rejected.
const REJECTION_TIME: Duration = Duration::from_millis(700);
/// Routers in three availability zones.
const ROUTERS: [(&str, &str); 6] = [
    ("entry-1", "zone-a"),
    ("entry-2", "zone-b"),
    ("entry-3", "zone-c"),
    ("entry-4", "zone-a"),
    ("entry-5", "zone-b"),
    ("entry-6", "zone-c"),
];

/// A response, and how long the caller waited for it.
struct TimedResponse {
    response: CollectedResponse,
    took: Duration,
}

/// How all upstreams answer, whatever they say of themselves.
fn plan() -> ReplicaPlan {
    ReplicaPlan {
        wait: Duration::from_millis(10),
        ..ReplicaPlan::default()
    }
}

fn limited(limit: f64) -> ReplicaPlan {
    ReplicaPlan {
        limit: Some(limit),
        ..plan()
    }
}

async fn start_deployment() -> Deployment {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", RunKind::Idempotent)]);
    deployment
}

async fn start_routers(deployment: &Deployment, count: usize) -> Vec<RelayDaemon> {
    let mut relays = Vec::new();
    for (host, zone) in &ROUTERS[..count] {
        relays.push(deployment.relay_in(host, zone).await);
    }
    eventually("each router lists all", async || {
        relays.iter().all(|relay| relay.status().relays == count)
    })
    .await;
    relays
}

/// Sends requests to the routers in turn for `time`, without waiting for their answers.
async fn send_load(relays: &[RelayDaemon], time: Duration) -> Vec<TimedResponse> {
    let mut calls: Vec<JoinHandle<TimedResponse>> = Vec::new();
    let started_at = Instant::now();
    for number in 0.. {
        if started_at.elapsed() >= time {
            break;
        }
        let relay = &relays[number % relays.len()];
        let request = request(relay, &format!("/letters/{number}"), &format!("a-{number}"));
        calls.push(tokio::spawn(async move {
            let sent_at = Instant::now();
            TimedResponse {
                response: call(request).await,
                took: sent_at.elapsed(),
            }
        }));
        sleep(LOAD_PAUSE).await;
    }
    let mut responses = Vec::new();
    for call in calls {
        responses.push(call.await.unwrap());
    }
    responses
}

/// Highest number of requests that reached `replica` in any window that begins after `from`.
fn most_arrivals(replica: &ReplicaStandin, from: Instant) -> usize {
    let runs = replica.runs();
    let arrivals: Vec<Instant> = runs
        .iter()
        .map(|run| run.at)
        .filter(|at| *at >= from)
        .collect();
    let in_window = |begin: &Instant| {
        let end = *begin + WINDOW;
        arrivals
            .iter()
            .filter(|at| (*begin..end).contains(at))
            .count()
    };
    arrivals.iter().map(in_window).max().unwrap_or_default()
}

fn assert_kept(replica: &ReplicaStandin, limit: f64, from: Instant) {
    let allowed = WINDOW_FACTOR * limit * WINDOW.as_secs_f64() + WINDOW_EXTRA;
    let most = most_arrivals(replica, from);
    assert!(
        most as f64 <= allowed,
        "{most} requests in {WINDOW:?}, allowed {allowed:.1}"
    );
}

/// Checks that an upstream with a limit still gets a good part of what it takes.
fn assert_used(replica: &ReplicaStandin, limit: f64, from: Instant) {
    let arrived = replica.runs().iter().filter(|run| run.at >= from).count();
    let taken = limit * LOAD_TIME.as_secs_f64();
    assert!(arrived as f64 >= taken / 2.0, "{arrived} of {taken:.1}");
}

async fn assert_routers_keep_a_limit(routers: usize, limit: f64) {
    let deployment = start_deployment().await;
    let replicas = deployment.replicas(["up-1", "up-2", "up-3"], &plan()).await;
    let relays = start_routers(&deployment, routers).await;
    send_load(&relays, Duration::from_secs(1)).await;
    replicas[0].plan(limited(limit));
    let from = Instant::now() + CONTACT_TIME;
    let responses = send_load(&relays, CONTACT_TIME + LOAD_TIME).await;
    assert_kept(&replicas[0], limit, from);
    assert_used(&replicas[0], limit, from);
    let served = |timed: &&TimedResponse| timed.response.status == StatusCode::OK;
    assert_eq!(responses.iter().filter(served).count(), responses.len());
}

#[tokio::test]
async fn three_routers_keep_the_limit_of_an_upstream_together() {
    assert_routers_keep_a_limit(3, 1.6).await;
}

#[tokio::test]
async fn six_routers_keep_a_limit_below_their_number_together() {
    assert_routers_keep_a_limit(6, 1.4).await;
}

#[tokio::test]
async fn requests_beyond_the_limits_of_all_upstreams_are_rejected_at_once() {
    let limit = 3.0;
    let deployment = start_deployment().await;
    let ids = ["up-1", "up-2", "up-3", "up-4", "up-5", "up-6"];
    let replicas = deployment.replicas(ids, &limited(limit)).await;
    let relays = start_routers(&deployment, 3).await;
    let from = Instant::now() + CONTACT_TIME;
    send_load(&relays, CONTACT_TIME).await;
    let responses = send_load(&relays, LOAD_TIME).await;
    for replica in &replicas {
        assert_kept(replica, limit, from);
    }
    let served = responses
        .iter()
        .filter(|timed| timed.response.status == StatusCode::OK);
    let all_limits = limit * ids.len() as f64 * LOAD_TIME.as_secs_f64();
    let served = served.count();
    assert!(
        served as f64 >= all_limits * 0.6,
        "{served} of {all_limits:.0}"
    );
    for timed in &responses {
        match timed.response.status {
            StatusCode::OK => {}
            StatusCode::SERVICE_UNAVAILABLE => {
                assert!(timed.response.headers.contains_key(RETRY_AFTER));
                assert!(timed.took < REJECTION_TIME, "{:?}", timed.took);
            }
            status => panic!("{status}"),
        }
    }
}

#[tokio::test]
async fn an_upstream_that_names_no_limit_any_more_gets_its_share_again() {
    let deployment = start_deployment().await;
    let replicas = deployment.replicas(["up-1", "up-2"], &limited(1.6)).await;
    replicas[1].plan(plan());
    let relays = start_routers(&deployment, 3).await;
    send_load(&relays, CONTACT_TIME).await;
    replicas[0].plan(plan());
    send_load(&relays, CONTACT_TIME).await;
    let before = replicas[0].runs().len();
    let sent = send_load(&relays, WINDOW).await.len();
    let arrived = replicas[0].runs().len() - before;
    assert!(arrived >= sent / 4, "{arrived} of {sent}");
}

/// Guards against a limit that nobody keeps, or an upstream that nobody uses, after the loss of one router.
#[tokio::test]
async fn a_limit_is_kept_and_used_after_the_loss_of_any_router() {
    let limit = 1.6;
    for (host, _) in &ROUTERS[..3] {
        let deployment = start_deployment().await;
        let replicas = deployment.replicas(["up-1", "up-2"], &plan()).await;
        let runtime = Runtime::new().unwrap();
        let dying = deployment.start_on(&runtime, host).await;
        eventually("the router is ready", async || is_ready(&dying).await).await;
        let mut relays = Vec::new();
        for (host, zone) in ROUTERS[..3].iter().filter(|(other, _)| other != host) {
            relays.push(deployment.relay_in(host, zone).await);
        }
        eventually("each router lists all", async || {
            relays.iter().all(|relay| relay.status().relays == 3)
        })
        .await;
        replicas[0].plan(limited(limit));
        send_load(&relays, CONTACT_TIME).await;
        runtime.shutdown_background();
        let from = Instant::now();
        send_load(&relays, LOAD_TIME).await;
        assert_kept(&replicas[0], limit, from);
        assert_used(&replicas[0], limit, from);
    }
}

/// An upstream that says that it is leaving gets no more requests, whatever the store says.
#[tokio::test]
async fn an_upstream_that_says_in_an_answer_that_it_leaves_gets_no_more_requests() {
    let deployment = start_deployment().await;
    let replicas = deployment.replicas(["up-1", "up-2"], &plan()).await;
    let relays = start_routers(&deployment, 3).await;
    replicas[0].plan(ReplicaPlan {
        leaves: true,
        ..plan()
    });
    send_load(&relays, CONTACT_TIME).await;
    let before = replicas[0].runs().len();
    send_load(&relays, WINDOW).await;
    assert_eq!(replicas[0].runs().len(), before);
}

/// Runs load on one upstream with a limit beside two others, and checks the limit and that all requests are served.
async fn assert_kept_by_sends(rule: RouteRule, others: ReplicaPlan, with_limit: ReplicaPlan) {
    let limit = with_limit.limit.unwrap();
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule]);
    let replicas = deployment
        .replicas(["up-1", "up-2", "up-3", "up-4"], &others)
        .await;
    let relays = start_routers(&deployment, 3).await;
    replicas[0].plan(with_limit);
    let from = Instant::now() + CONTACT_TIME;
    let responses = send_load(&relays, CONTACT_TIME + LOAD_TIME).await;
    assert_kept(&replicas[0], limit, from);
    assert!(!replicas[0].runs().is_empty());
    let served = |timed: &&TimedResponse| timed.response.status == StatusCode::OK;
    assert_eq!(responses.iter().filter(served).count(), responses.len());
}

#[tokio::test]
async fn sends_to_larger_models_need_a_permit_too() {
    let mut cascade = rule("/letters/", RunKind::ResumableStream);
    cascade.cascade = ["small", "large"].map(Into::into).into_iter().collect();
    let unsure = ReplicaPlan {
        events: 3,
        confidence: Some(10),
        ..plan()
    };
    let with_limit = ReplicaPlan {
        limit: Some(1.6),
        ..unsure.clone()
    };
    assert_kept_by_sends(cascade, unsure, with_limit).await;
}

#[tokio::test]
async fn retries_need_a_permit_too() {
    let failing = ReplicaPlan {
        status: StatusCode::INTERNAL_SERVER_ERROR,
        ..limited(1.6)
    };
    let rule = rule("/letters/", RunKind::Idempotent);
    assert_kept_by_sends(rule, plan(), failing).await;
}

/// Streams that break off in the middle are resumed at upstreams that have a limit.
#[tokio::test]
async fn resumed_streams_need_a_permit_too() {
    let breaking = ReplicaPlan {
        events: 4,
        break_after: Some(2),
        ..plan()
    };
    let with_limit = ReplicaPlan {
        events: 4,
        ..limited(1.6)
    };
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", RunKind::ResumableStream)]);
    let replicas = deployment.replicas(["up-1", "up-2"], &breaking).await;
    let relays = start_routers(&deployment, 3).await;
    replicas[0].plan(with_limit);
    let from = Instant::now() + CONTACT_TIME;
    send_load(&relays, CONTACT_TIME + LOAD_TIME).await;
    assert_kept(&replicas[0], 1.6, from);
}

/// Rejections per second after which a brittle upstream of the tests breaks down.
const BRITTLE_REJECTIONS: u32 = 4;

/// Number of times at which `replica` had rejected more than [`BRITTLE_REJECTIONS`] requests in a second, after `from`.
fn breakdowns(replica: &ReplicaStandin, from: Instant) -> usize {
    let mut recent: Vec<Instant> = Vec::new();
    let mut breakdowns = 0;
    let runs = replica.runs();
    let rejected = runs.iter().filter(|run| run.status == RunStatus::Refused);
    for at in rejected.map(|run| run.at).filter(|at| *at >= from) {
        recent.retain(|earlier| at - *earlier < Duration::from_secs(1));
        recent.push(at);
        if recent.len() > BRITTLE_REJECTIONS as usize {
            breakdowns += 1;
            recent.clear();
        }
    }
    breakdowns
}

/// Number of requests that `replica` ran after `from`.
fn ran(replica: &ReplicaStandin, from: Instant) -> usize {
    let runs = replica.runs();
    let ran = runs.iter().filter(|run| run.at >= from);
    ran.filter(|run| run.status != RunStatus::Refused).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn brittle_upstreams_that_are_full_have_to_reject_few_requests() {
    let deployment = start_deployment().await;
    let brittle = ReplicaPlan {
        wait: Duration::from_millis(200),
        rejections: Some(BRITTLE_REJECTIONS),
        ..plan()
    };
    let replicas = deployment
        .replicas(["up-1", "up-2", "up-3"], &brittle)
        .await;
    let relays = start_routers(&deployment, 6).await;
    send_load(&relays, CONTACT_TIME).await;
    let full = ReplicaPlan {
        room: Some(1),
        ..brittle
    };
    replicas
        .iter()
        .for_each(|replica| replica.plan(full.clone()));
    let from = Instant::now();
    send_load(&relays, LOAD_TIME).await;
    let broken: usize = replicas
        .iter()
        .map(|replica| breakdowns(replica, from))
        .sum();
    let ran: usize = replicas.iter().map(|replica| ran(replica, from)).sum();
    // A run takes 200 ms, so that each upstream has room for five a second.
    let room = 3 * 5 * LOAD_TIME.as_secs() as usize;
    assert!(
        broken <= 2 + replicas.len() / 10,
        "{broken} breakdowns, {ran} of {room} ran"
    );
    assert!(ran >= room / 3, "{ran} of {room} ran");
}

/// Pause that the upstreams of the following tests ask for, and the part of it in which requests may still arrive.
const PAUSE: Duration = Duration::from_secs(3);
const PAUSE_GRACE: Duration = Duration::from_millis(500);
/// Number of requests that may arrive in the rest of a pause.
const MAX_PAUSE_ARRIVALS: usize = 2;
/// Time that the upstreams need for a refusal.
const REFUSAL_WAIT: Duration = Duration::from_millis(60);

/// Most requests that reached `replica` in the rest of any pause that it asked for.
fn most_in_pause(replica: &ReplicaStandin) -> usize {
    let runs = replica.runs();
    let asked = runs.iter().filter(|run| run.pause.is_some());
    let in_pause = asked.map(|asked| {
        let refused_at = asked.at + REFUSAL_WAIT;
        let pause = refused_at + PAUSE_GRACE..refused_at + PAUSE;
        runs.iter().filter(|run| pause.contains(&run.at)).count()
    });
    in_pause.max().unwrap_or_default()
}

/// Sends requests to one relay whose callers leave after `patience`, while all upstreams ask for pauses; returns the most requests
/// that reached one in a pause.
async fn most_in_pause_of_callers_that_leave(patience: Duration) -> usize {
    let deployment = start_deployment().await;
    let refusing = ReplicaPlan {
        full: true,
        pause: Some(PAUSE),
        refusal_wait: REFUSAL_WAIT,
        ..plan()
    };
    let replicas = deployment
        .replicas(["up-1", "up-2", "up-3", "up-4"], &refusing)
        .await;
    let relay = deployment.relay().await;
    let until = Instant::now() + PAUSE * 2;
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let request = request(
            &relay,
            &format!("/letters/{number}"),
            &format!("a-{number}"),
        );
        tokio::spawn(timeout(patience, call(request)));
        sleep(LOAD_PAUSE).await;
    }
    let most = replicas.iter().map(most_in_pause);
    most.max().unwrap_or_default()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_pause_is_kept_that_was_asked_of_a_request_whose_caller_had_left() {
    let most = most_in_pause_of_callers_that_leave(REFUSAL_WAIT - Duration::from_millis(20)).await;
    assert!(most <= MAX_PAUSE_ARRIVALS, "{most} requests in a pause");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_pause_is_kept_that_callers_waited_for() {
    let most = most_in_pause_of_callers_that_leave(PAUSE).await;
    assert!(most <= MAX_PAUSE_ARRIVALS, "{most} requests in a pause");
}
