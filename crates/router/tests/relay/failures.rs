//! Upstreams that refuse requests, break connections, answer wrongly or leave.

use std::time::Duration;

use ferry_decisions::registry::UpstreamStage;
use ferry_decisions::ruleset::RunKind;
use ferry_platform::store::UPSTREAM_TOPIC;
use ferry_rig::worst_pause_excess;
use ferry_standin::faults::{FaultOrder, OutageAnswer, OutageOrder};
use ferry_standin::replica::RunStatus;
use ferry_standin::{ReplicaPlan, ReplicaStandin};
use hyper::StatusCode;
use tokio::time::{Instant, sleep};

use crate::deployment::{Deployment, call, eventually, request, rule};

/// Number of requests sent by tests in which the choice of the upstream is random.
const REQUEST_COUNT: usize = 12;

fn fault_that_drops_requests() -> FaultOrder {
    FaultOrder {
        outage: Some(OutageOrder {
            answer: OutageAnswer::Drop,
            path: "/".to_owned(),
        }),
        ..FaultOrder::default()
    }
}

fn finished_runs(replica: &ReplicaStandin) -> usize {
    let runs = replica.runs();
    runs.iter()
        .filter(|run| run.status == RunStatus::Finished)
        .count()
}

#[tokio::test]
async fn a_request_that_full_upstreams_refuse_is_retried_elsewhere_or_refused_as_not_run() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", RunKind::Once)]);
    let busy = deployment.replica("up-1", "v1").await;
    let free = deployment.replica("up-2", "v1").await;
    let full = ReplicaPlan {
        full: true,
        ..ReplicaPlan::default()
    };
    busy.plan(full.clone());
    let relay = deployment.relay().await;
    for number in 0..REQUEST_COUNT {
        let answer = call(request(&relay, "/letters/7", &format!("a-{number}"))).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_eq!(finished_runs(&free), REQUEST_COUNT);
    free.plan(full);
    let refused = call(request(&relay, "/letters/7", "b")).await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.headers.contains_key("retry-after"));
}

#[tokio::test]
async fn a_request_is_sent_again_after_a_broken_connection_only_if_its_rule_allows() {
    let deployment = Deployment::start().await;
    let rules = [
        rule("/once/", RunKind::Once),
        rule("/often/", RunKind::Idempotent),
    ];
    deployment.configure(1, &rules);
    let broken = deployment.replica("up-1", "v1").await;
    broken.set_faults(fault_that_drops_requests());
    let relay = deployment.relay().await;
    let once = call(request(&relay, "/once/7", "a")).await;
    assert_eq!(once.status, StatusCode::BAD_GATEWAY);
    let healthy = deployment.replica("up-2", "v1").await;
    eventually("the second upstream is known", async || {
        call(request(&relay, "/often/7", "b")).await.status == StatusCode::OK
    })
    .await;
    for number in 0..REQUEST_COUNT {
        let often = call(request(&relay, "/often/7", &format!("c-{number}"))).await;
        assert_eq!(often.status, StatusCode::OK);
    }
    assert!(finished_runs(&healthy) > REQUEST_COUNT);
    for number in 0..REQUEST_COUNT {
        call(request(&relay, "/once/7", &format!("d-{number}"))).await;
    }
    let broken_ids = broken.runs().into_iter().map(|run| run.request.attempt_id);
    let broken_ids: Vec<String> = broken_ids.filter(|id| id.starts_with("d-")).collect();
    for run in healthy.runs() {
        assert!(!broken_ids.contains(&run.request.attempt_id), "ran twice");
    }
}

#[tokio::test]
async fn an_answer_to_another_attempt_is_not_forwarded() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", RunKind::Once)]);
    let replica = deployment.replica("up-1", "v1").await;
    replica.plan(ReplicaPlan {
        wrong_attempt: true,
        ..ReplicaPlan::default()
    });
    let relay = deployment.relay().await;
    let answer = call(request(&relay, "/letters/7", "a")).await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert!(!String::from_utf8_lossy(&answer.body.unwrap()).contains("answers"));
}

#[tokio::test]
async fn an_error_answer_of_an_upstream_is_forwarded_unchanged() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", RunKind::Once)]);
    let replica = deployment.replica("up-1", "v1").await;
    replica.plan(ReplicaPlan {
        status: StatusCode::INTERNAL_SERVER_ERROR,
        ..ReplicaPlan::default()
    });
    let relay = deployment.relay().await;
    let answer = call(request(&relay, "/letters/7", "a")).await;
    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(answer.body.unwrap(), "up-1 answers a");
}

#[tokio::test]
async fn a_leaving_upstream_gets_no_request_within_the_bound() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", RunKind::Idempotent)]);
    let leaving = deployment.replica("up-1", "v1").await;
    let staying = deployment.replica("up-2", "v1").await;
    let relay = deployment.relay().await;
    leaving.register(&deployment.store, UpstreamStage::Draining, 2);
    tokio::time::sleep(deployment.bounds.drain).await;
    let before = leaving.runs().len();
    for number in 0..REQUEST_COUNT {
        let answer = call(request(&relay, "/letters/7", &format!("a-{number}"))).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_eq!(leaving.runs().len(), before);
    assert_eq!(staying.runs().len(), REQUEST_COUNT);
}

/// Guards against a start that is taken for the end of an outage of the store, after which missing entries are waited for.
#[tokio::test]
async fn an_upstream_that_leaves_just_after_a_router_s_start_gets_no_request_within_the_bound() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", RunKind::Idempotent)]);
    let leaving = deployment.replica("up-1", "v1").await;
    let staying = deployment.replica("up-2", "v1").await;
    let relay = deployment.relay().await;
    deployment.store.put(UPSTREAM_TOPIC, "up-1", b"");
    sleep(deployment.bounds.drain).await;
    for number in 0..REQUEST_COUNT {
        let answer = call(request(&relay, "/letters/7", &format!("a-{number}"))).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_eq!(leaving.runs().len(), 0);
    assert_eq!(staying.runs().len(), REQUEST_COUNT);
}

#[tokio::test]
async fn malformed_upstream_entries_do_not_affect_valid_upstreams() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", RunKind::Idempotent)]);
    let _replica = deployment.replica("up-1", "v1").await;
    let entries: [&[u8]; 4] = [b"\xff\xfe", b"{}", b"[1,2", b"{\"state\":\"asleep\"}"];
    for (number, value) in entries.into_iter().enumerate() {
        deployment
            .store
            .put(UPSTREAM_TOPIC, &format!("odd-{number}"), value);
    }
    let relay = deployment.relay().await;
    let answer = call(request(&relay, "/letters/7", "a")).await;
    assert_eq!(answer.status, StatusCode::OK);
}

/// The entry of a removed upstream still names an address that now belongs to another upstream, which refuses
/// requests bound to the removed one.
#[tokio::test]
async fn a_request_for_an_upstream_that_is_gone_does_not_run_at_its_address() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", RunKind::Once)]);
    let other = deployment.replica("up-1", "v1").await;
    let mut record = other.record(UpstreamStage::Ready, 1);
    record.incarnation.id = "up-0".into();
    let entry = ferry_platform::entries::encode_upstream(&record);
    deployment.store.put(UPSTREAM_TOPIC, "up-0", &entry);
    let relay = deployment.relay().await;
    for number in 0..REQUEST_COUNT {
        let answer = call(request(&relay, "/letters/7", &format!("a-{number}"))).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    let runs = other.runs();
    assert_eq!(finished_runs(&other), REQUEST_COUNT);
    assert!(
        runs.iter()
            .filter(|run| run.request.bound_to.as_deref() == Some("up-0"))
            .all(|run| run.status == RunStatus::Refused)
    );
}

#[tokio::test]
async fn a_request_that_crashes_three_upstreams_is_not_run_again() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", RunKind::Idempotent)]);
    let crashing_plan = ReplicaPlan {
        break_after: Some(0),
        wait: Duration::from_millis(10),
        ..ReplicaPlan::default()
    };
    let ids = ["up-1", "up-2", "up-3", "up-4"];
    let replicas = deployment.replicas(ids, &crashing_plan).await;
    let relay = deployment.relay().await;
    for number in 0..REQUEST_COUNT {
        let answer = call(request(&relay, "/letters/7", &format!("a-{number}"))).await;
        assert!(answer.status.is_server_error());
        assert_ne!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    let runs: usize = replicas.iter().map(|replica| replica.runs().len()).sum();
    assert_eq!(runs, 3);
    // Other requests are not affected by the quarantine.
    for replica in &replicas {
        replica.plan(ReplicaPlan::default());
    }
    let other = call(request(&relay, "/letters/8", "b")).await;
    assert_eq!(other.status, StatusCode::OK);
}

#[tokio::test]
async fn an_upstream_that_fails_gets_few_requests_while_others_answer() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", RunKind::Once)]);
    let busy = ReplicaPlan {
        wait: Duration::from_millis(40),
        ..ReplicaPlan::default()
    };
    let failing = deployment.replica("up-1", "v1").await;
    failing.plan(ReplicaPlan {
        status: StatusCode::INTERNAL_SERVER_ERROR,
        ..busy.clone()
    });
    for id in ["up-2", "up-3"] {
        deployment.replica(id, "v1").await.plan(busy.clone());
    }
    let relay = deployment.relay().await;
    let waves = 10;
    for wave in 0..waves {
        let calls = (0..2 * REQUEST_COUNT).map(|number| {
            let id = format!("a-{wave}-{number}");
            tokio::spawn(call(request(&relay, "/letters/7", &id)))
        });
        for answer in calls.collect::<Vec<_>>() {
            answer.await.unwrap();
        }
    }
    let (failures, total) = (failing.runs().len(), waves * 2 * REQUEST_COUNT);
    assert!(failures * 8 < total, "{failures} of {total}");
}

/// Guards against an upstream's Retry-After that is not read: it got requests all through the pause.
#[tokio::test]
async fn an_upstream_that_asks_for_a_pause_gets_no_request_until_its_end() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", RunKind::Idempotent)]);
    let pausing = deployment.replica("up-1", "v1").await;
    pausing.plan(ReplicaPlan {
        full: true,
        pause: Some(Duration::from_millis(1_500)),
        ..ReplicaPlan::default()
    });
    let other = deployment.replica("up-2", "v1").await;
    let relay = deployment.relay().await;
    let until = Instant::now() + Duration::from_secs(3);
    for number in 0.. {
        if Instant::now() > until {
            break;
        }
        let answer = call(request(&relay, "/letters/7", &format!("a-{number}"))).await;
        assert_eq!(answer.status, StatusCode::OK);
        sleep(Duration::from_millis(10)).await;
    }
    let refused = pausing.runs();
    assert!(refused.len() >= 2, "it gets requests again after the pause");
    assert_eq!(worst_pause_excess(&refused), None);
    assert!(finished_runs(&other) > REQUEST_COUNT);
}

/// Guards against requests that wait or are tried elsewhere although each upstream asks for a pause.
#[tokio::test]
async fn requests_are_refused_until_the_soonest_end_of_the_upstreams_pauses() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", RunKind::Idempotent)]);
    let mut replicas = Vec::new();
    for (id, seconds) in [("up-1", 20), ("up-2", 10)] {
        let replica = deployment.replica(id, "v1").await;
        replica.plan(ReplicaPlan {
            full: true,
            pause: Some(Duration::from_secs(seconds)),
            ..ReplicaPlan::default()
        });
        replicas.push(replica);
    }
    let relay = deployment.relay().await;
    for number in 0..REQUEST_COUNT {
        let answer = call(request(&relay, "/letters/7", &format!("a-{number}"))).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        let retry_after = answer.headers["retry-after"].to_str().unwrap();
        let seconds: f64 = retry_after.parse().unwrap();
        assert!(number == 0 || (9.0..=10.0).contains(&seconds), "{seconds}");
    }
    let runs: usize = replicas.iter().map(|replica| replica.runs().len()).sum();
    assert_eq!(runs, 2);
}

/// Six upstreams that reject all requests without asking for a pause.
async fn rejecting_deployment() -> (Deployment, Vec<ReplicaStandin>) {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", RunKind::Idempotent)]);
    let full = ReplicaPlan {
        full: true,
        ..ReplicaPlan::default()
    };
    let ids = ["up-1", "up-2", "up-3", "up-4", "up-5", "up-6"];
    let replicas = deployment.replicas(ids, &full).await;
    (deployment, replicas)
}

/// Guards against a request that is sent to one upstream after the other although all reject at that moment.
#[tokio::test]
async fn requests_that_all_upstreams_reject_reach_few_of_them() {
    let (deployment, replicas) = rejecting_deployment().await;
    let relay = deployment.relay().await;
    let requests = 10 * REQUEST_COUNT;
    for number in 0..requests {
        let answer = call(request(&relay, "/letters/7", &format!("a-{number}"))).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    let arrivals: usize = replicas.iter().map(|replica| replica.runs().len()).sum();
    assert!(arrivals < 2 * requests, "{arrivals} for {requests}");
}

/// Guards against a router that does not remember which upstreams rejected requests a moment ago.
#[tokio::test]
async fn requests_reach_the_only_upstream_that_does_not_reject() {
    let (deployment, replicas) = rejecting_deployment().await;
    replicas[5].plan(ReplicaPlan::default());
    let relay = deployment.relay().await;
    let requests = 10 * REQUEST_COUNT;
    let mut answered = 0;
    for number in 0..requests {
        let answer = call(request(&relay, "/letters/7", &format!("a-{number}"))).await;
        answered += usize::from(answer.status == StatusCode::OK);
    }
    let rejections: usize = replicas[..5].iter().map(|full| full.runs().len()).sum();
    assert!(answered > requests * 9 / 10, "{answered} of {requests}");
    assert!(rejections < requests / 2, "{rejections} for {requests}");
}
