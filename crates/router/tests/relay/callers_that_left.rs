//! Callers that leave before they are answered: nothing is sent for them any more, and nothing goes on.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::ruleset::{RouteRule, RunKind};
use ferry_standin::brittle::{AnswerPlan, BrittleOptions, ReturnName};
use ferry_standin::replica::RunStatus;
use ferry_standin::{BrittleTimes, ReplicaPlan};
use futures::future::join_all;
use hyper::{Method, StatusCode};
use tokio::time::{Instant, interval, sleep, sleep_until, timeout};

use crate::blocked_router::BlockedRouter;
use crate::brittle_upstream::{brittle_options, start_brittle};
use crate::deployment::{Deployment, SERVICE, call, eventually, request, rule};

/// Time after a caller has left from which on its request must reach no upstream.
const LATE: Duration = Duration::from_millis(500);
/// Requests that may reach one all the same.
const ALLOWED: usize = 3;
/// Callers that leave while the router reads nothing.
const CALLERS: usize = 120;
const PATIENCE: Duration = Duration::from_millis(200);
/// Time for which an upstream runs on.
const RUN_ON_TIME: Duration = Duration::from_secs(2);
const TAKE_OVER_TIME: Duration = Duration::from_secs(3);

fn rules() -> Vec<RouteRule> {
    let kinds = [
        ("/once/", RunKind::Once),
        ("/idempotent/", RunKind::Idempotent),
        ("/stream/", RunKind::ResumableStream),
    ];
    let rules = kinds.into_iter().flat_map(|(prefix, run)| {
        let public = RouteRule {
            public: true,
            ..rule(&format!("/public{prefix}"), run)
        };
        [rule(prefix, run), public]
    });
    rules.collect()
}

/// Load pattern: callers give up while their requests are not read.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_caller_left_before_it_was_read_reaches_no_upstream() {
    let router = BlockedRouter::start(&rules(), Duration::from_millis(100)).await;
    // Leaves open connections to the upstream, on which requests can be sent at once.
    let warm_up = (0..CALLERS).map(|number| {
        let path = format!("/idempotent/{number}");
        call(request(&router.relay, &path, &format!("w-{number}")))
    });
    join_all(warm_up).await;
    let before = router.replica.runs().len();
    router.replica.plan(ReplicaPlan {
        wait: Duration::from_secs(5),
        ..ReplicaPlan::default()
    });
    router
        .block(PATIENCE + LATE + Duration::from_millis(100))
        .await;
    let prefixes: Vec<String> = rules()
        .iter()
        .map(|rule| rule.path_prefix.clone())
        .collect();
    let calls = (0..CALLERS).map(|number| {
        let path = format!("{}{number}", prefixes[number % prefixes.len()]);
        let mut request = request(&router.relay, &path, &format!("a-{number}"));
        if number % 2 == 0 {
            // Without a body, all of the request is read at once.
            request.method = Method::GET;
            request.body = Bytes::new();
        }
        timeout(PATIENCE, call(request))
    });
    let answers = join_all(calls).await;
    assert!(answers.iter().all(Result::is_err), "the router was blocked");
    sleep(LATE * 3).await;
    let runs = router.replica.runs().split_off(before);
    assert!(runs.len() <= ALLOWED, "{} of {CALLERS} arrived", runs.len());
    let going_on = runs.iter().filter(|run| run.status == RunStatus::Running);
    assert_eq!(going_on.count(), 0);
    router.stop();
}

/// Load pattern: more requests than brittle upstreams take, whose callers give up soon.
#[tokio::test(flavor = "multi_thread")]
async fn no_request_reaches_a_brittle_upstream_long_after_its_caller_left() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &rules());
    let mut relays = Vec::new();
    for number in 0..6 {
        let zone = ["zone-a", "zone-b", "zone-c"][number % 3];
        relays.push(deployment.relay_in(&format!("entry-{number}"), zone).await);
    }
    eventually("each router lists all", async || {
        relays.iter().all(|relay| relay.status().relays == 6)
    })
    .await;
    let begins = Instant::now();
    let times = BrittleTimes {
        says_so: begins,
        queues_few: begins + Duration::from_secs(3),
        ends: begins + Duration::from_secs(60),
    };
    let names = ["up-1", "up-2", "up-3"];
    let starting = names.map(|name| {
        let options = brittle_options(name, "zone-a", ReturnName::Same);
        start_brittle(&deployment.store, options, times)
    });
    let upstreams = join_all(starting).await;
    let mut left_at = HashMap::new();
    let mut ticks = interval(Duration::from_millis(8));
    let mut calls = Vec::new();
    for number in 0..1_000 {
        let sent_at = ticks.tick().await;
        let id = format!("a-{number}");
        let relay = &relays[number % relays.len()];
        let call = call(request(relay, &format!("/idempotent/{number}"), &id));
        calls.push(tokio::spawn(timeout(PATIENCE, call)));
        left_at.insert(id, sent_at + PATIENCE);
    }
    sleep_until(Instant::now() + LATE * 3).await;
    for call in calls {
        // Many callers leave, which is what is played.
        let _ = call.await.unwrap();
    }
    let arrivals = upstreams.iter().flat_map(|upstream| upstream.arrivals());
    let late: Vec<_> = arrivals
        .filter(|arrival| arrival.at > left_at[&arrival.attempt_id] + LATE)
        .collect();
    assert!(late.len() <= ALLOWED, "{late:?}");
    assert!(upstreams.iter().all(|upstream| upstream.running() == 0));
}

/// Load pattern: a brittle upstream runs on for all callers that it served, which left, and would have to reject the next requests. The issuer keeps `kept`
/// permits at least; what it doesn't keep shows in a load that a later answer states.
async fn assert_runs_for_callers_that_left_count(prefix: &str, plan: AnswerPlan, kept: usize) {
    let deployment = Deployment::start().await;
    deployment.configure(1, &rules());
    let relay = deployment.relay_in("entry-1", "zone-a").await;
    // From then on no other router can have issued permits.
    sleep(TAKE_OVER_TIME).await;
    let begins = Instant::now();
    let ends = begins + Duration::from_secs(60);
    let times = BrittleTimes {
        says_so: begins,
        queues_few: ends,
        ends,
    };
    let options = BrittleOptions {
        slots: 2,
        short_queue: 0,
        survived: 1,
        keeps_abandoned: true,
        ..brittle_options("up-1", "zone-a", ReturnName::Same)
    };
    let upstream = start_brittle(&deployment.store, options, times).await;
    let requests = |prefix: &str, kind: &str| {
        let ids = (0..4).map(|number| format!("a-{kind}-{number}"));
        ids.map(|id| request(&relay, &format!("{prefix}{id}"), &id))
            .collect::<Vec<_>>()
    };
    eventually("the upstream serves", async || {
        let answers = join_all(requests("/idempotent/", "warm").into_iter().map(call)).await;
        answers.iter().any(|answer| answer.status == StatusCode::OK)
    })
    .await;
    upstream.schedule(BrittleTimes {
        queues_few: Instant::now(),
        ..times
    });
    upstream.plan(plan);
    eventually("both slots are used for callers that left", async || {
        let leaving = requests(prefix, "left").into_iter();
        join_all(leaving.map(|request| timeout(PATIENCE, call(request)))).await;
        upstream.running() == 2
    })
    .await;
    sleep(LATE).await;
    assert_eq!(upstream.running(), 2);
    let status = relay.status();
    let service = status
        .services
        .iter()
        .find(|status| status.service == SERVICE);
    assert!(service.is_some_and(|service| service.permits_open >= kept));
    let before = upstream.rejections().len();
    join_all(requests(prefix, "next").into_iter().map(call)).await;
    let rejections = upstream.rejections();
    assert!(rejections.len() <= before + 1, "{before} of {rejections:?}");
    assert!(upstream.falls().is_empty(), "{rejections:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn runs_for_callers_that_left_before_the_answer_keep_their_permits() {
    let plan = AnswerPlan::whole(RUN_ON_TIME);
    assert_runs_for_callers_that_left_count("/idempotent/", plan, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn runs_for_callers_that_left_in_the_answer_keep_their_permits() {
    let plan = AnswerPlan {
        run_time: Duration::from_millis(20),
        events: 20,
        gap: RUN_ON_TIME / 20,
        link_time: Duration::ZERO,
    };
    assert_runs_for_callers_that_left_count("/stream/", plan, 1).await;
}
