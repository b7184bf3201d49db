//! Requests that crash each upstream that runs them, sent again at any router of the fleet.

use std::time::Duration;

use ferry_decisions::registry::UpstreamStage;
use ferry_decisions::ruleset::RunKind;
use ferry_decisions::time::UnixMillis;
use ferry_platform::entries::encode_upstream;
use ferry_platform::store::{APPEND_PATH, UPSTREAM_TOPIC};
use ferry_router::relay::RelayDaemon;
use ferry_standin::faults::{FaultOrder, OutageAnswer, OutageOrder};
use ferry_standin::replica::RunStatus;
use ferry_standin::{ReplicaPlan, ReplicaStandin};
use futures::future::join_all;
use hyper::StatusCode;
use tokio::time::sleep;

use crate::deployment::{Deployment, call, eventually, request, rule};

/// Time after the third crash from which the fleet must not run the request again.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time after which a router has tried to store crashes, and waits to try again.
const STORE_RETRY_TIME: Duration = Duration::from_millis(100);
/// Time for which the store has been away before the crashes.
const OUTAGE_TIME: Duration = Duration::from_secs(1);
/// Number of sends at each router after that time.
const LATER_SENDS: usize = 4;
/// Ids of enough upstreams that the request can reach a new one each time.
const UPSTREAMS: [&str; 8] = [
    "up-1", "up-2", "up-3", "up-4", "up-5", "up-6", "up-7", "up-8",
];
/// Routers of one availability zone: one reads the store, the others sync from it.
const ONE_ZONE: [(&str, &str); 3] = [
    ("entry-1", "zone-a"),
    ("entry-2", "zone-a"),
    ("entry-3", "zone-a"),
];
/// Routers that all read the store.
const THREE_ZONES: [(&str, &str); 3] = [
    ("entry-1", "zone-a"),
    ("entry-2", "zone-b"),
    ("entry-3", "zone-c"),
];
/// Topic of the routers' entries.
const ROUTER_TOPIC: &str = "keyed.routers";
/// Path of the request that crashes upstreams.
const CRASHING: &str = "/letters/7";
/// Path of a request that crashes no upstream.
const HARMLESS: &str = "/letters/8";

fn crashing_plan() -> ReplicaPlan {
    ReplicaPlan {
        break_after: Some(0),
        ..ReplicaPlan::default()
    }
}

async fn deployment(run: RunKind) -> (Deployment, Vec<ReplicaStandin>) {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", run)]);
    let replicas = deployment.replicas(UPSTREAMS, &crashing_plan()).await;
    (deployment, replicas)
}

async fn start_routers(deployment: &Deployment, hosts: [(&str, &str); 3]) -> Vec<RelayDaemon> {
    let mut relays = Vec::new();
    for (host, zone) in hosts {
        relays.push(deployment.relay_in(host, zone).await);
    }
    eventually("each router lists all", async || {
        relays
            .iter()
            .all(|relay| relay.status().relays == hosts.len())
    })
    .await;
    relays
}

/// Sends the crashing request to each router in turn, `rounds` times. Upstreams that broke it off stay down.
async fn send_to_all(
    relays: &[RelayDaemon],
    replicas: &[ReplicaStandin],
    rounds: usize,
) -> Vec<StatusCode> {
    let mut statuses = Vec::new();
    for round in 0..rounds {
        for relay in relays {
            let id = format!("send-{round}");
            statuses.push(call(request(relay, CRASHING, &id)).await.status);
            take_down_crashed(replicas).await;
        }
    }
    statuses
}

/// Lets upstreams on which a run broke off refuse connections, as a process that has ended does.
async fn take_down_crashed(replicas: &[ReplicaStandin]) {
    for replica in replicas {
        let runs = replica.runs();
        if runs.iter().any(|run| run.status == RunStatus::Abandoned) {
            replica.crash().await;
        }
    }
}

/// Number of times that a request to `target` reached an upstream.
fn runs_of(replicas: &[ReplicaStandin], target: &str) -> usize {
    let runs = replicas.iter().flat_map(ReplicaStandin::runs);
    runs.filter(|run| run.target.ends_with(target)).count()
}

/// Checks that the crashing request is rejected everywhere, and that other requests are served.
async fn assert_contained(relays: &[RelayDaemon], replicas: &[ReplicaStandin]) {
    let before = runs_of(replicas, CRASHING);
    let statuses = send_to_all(relays, replicas, LATER_SENDS).await;
    assert_eq!(runs_of(replicas, CRASHING), before, "{statuses:?}");
    for replica in replicas {
        replica.restart().await;
    }
    plan_all(replicas, &ReplicaPlan::default());
    for relay in relays {
        let other = call(request(relay, HARMLESS, "other")).await;
        assert_eq!(other.status, StatusCode::OK);
    }
}

/// Takes the store away, and checks that the crashing request is rejected everywhere some time after its first sends.
async fn assert_contained_in_an_outage(
    deployment: &Deployment,
    relays: &[RelayDaemon],
    replicas: &[ReplicaStandin],
) {
    deployment.store.set_faults(FaultOrder {
        outage: Some(OutageOrder {
            answer: OutageAnswer::Unavailable,
            path: String::new(),
        }),
        ..FaultOrder::default()
    });
    send_to_all(relays, replicas, 1).await;
    sleep(CONTACT_TIME).await;
    let before = runs_of(replicas, CRASHING);
    send_to_all(relays, replicas, LATER_SENDS).await;
    assert_eq!(runs_of(replicas, CRASHING), before);
}

async fn assert_three_crashes_contain(run: RunKind, hosts: [(&str, &str); 3]) {
    let (deployment, replicas) = deployment(run).await;
    let relays = start_routers(&deployment, hosts).await;
    send_to_all(&relays, &replicas, 1).await;
    assert!(runs_of(&replicas, CRASHING) >= 3);
    sleep(CONTACT_TIME).await;
    assert_contained(&relays, &replicas).await;
}

/// Guards against routers that each count for themselves: with one crash at each of three routers, none
/// of them quarantined the request.
#[tokio::test]
async fn three_crashes_at_three_routers_of_a_zone_contain_a_request() {
    assert_three_crashes_contain(RunKind::Once, ONE_ZONE).await;
}

/// The same with routers that do not sync from one another.
#[tokio::test]
async fn three_crashes_at_three_routers_that_read_the_store_contain_a_request() {
    assert_three_crashes_contain(RunKind::Once, THREE_ZONES).await;
}

/// The same with streams that break off after the head of their answer, which can't be resumed.
#[tokio::test]
async fn three_streams_broken_off_at_three_routers_contain_a_request() {
    let (deployment, replicas) = deployment(RunKind::Stream).await;
    let breaking = ReplicaPlan {
        events: 3,
        break_after: Some(1),
        ..ReplicaPlan::default()
    };
    plan_all(&replicas, &breaking);
    let relays = start_routers(&deployment, THREE_ZONES).await;
    for relay in &relays {
        let answer = call(request(relay, CRASHING, "stream")).await;
        assert_eq!((answer.status, answer.body), (StatusCode::OK, None));
        for replica in replicas.iter().filter(|replica| !replica.runs().is_empty()) {
            replica.crash().await;
        }
    }
    assert_eq!(runs_of(&replicas, CRASHING), 3);
    sleep(CONTACT_TIME).await;
    assert_contained(&relays, &replicas).await;
}

/// Guards against crashes that are counted only once a router has seen three of them itself.
#[tokio::test]
async fn equal_requests_that_crash_upstreams_at_the_same_time_are_contained() {
    let (deployment, replicas) = deployment(RunKind::Idempotent).await;
    let relays = start_routers(&deployment, THREE_ZONES).await;
    let calls = relays.iter().flat_map(|relay| {
        (0..2).map(|number| {
            let id = format!("at-once-{number}");
            tokio::spawn(call(request(relay, CRASHING, &id)))
        })
    });
    for answer in calls.collect::<Vec<_>>() {
        assert!(!answer.await.unwrap().status.is_success());
    }
    sleep(CONTACT_TIME).await;
    assert_contained(&relays, &replicas).await;
}

/// Guards against a report that only the routers of the moment get: a router that started later ran the
/// request again.
#[tokio::test]
async fn a_router_that_starts_after_the_crashes_does_not_run_the_request() {
    let (deployment, replicas) = deployment(RunKind::Idempotent).await;
    let mut relays = start_routers(&deployment, ONE_ZONE).await;
    send_to_all(&relays, &replicas, 1).await;
    relays.push(deployment.relay_in("entry-4", "zone-b").await);
    relays.push(deployment.relay_in("entry-5", "zone-a").await);
    sleep(CONTACT_TIME).await;
    assert_contained(&relays, &replicas).await;
}

/// Guards against a quarantine that lives only in the routers' memory: after a restart of all routers the
/// request crashed three more upstreams.
#[tokio::test]
async fn a_fleet_that_restarts_does_not_run_the_request() {
    let (deployment, replicas) = deployment(RunKind::Idempotent).await;
    let relays = start_routers(&deployment, THREE_ZONES).await;
    send_to_all(&relays, &replicas, 1).await;
    let stops = relays.into_iter().map(|relay| tokio::spawn(relay.stop()));
    for stop in stops.collect::<Vec<_>>() {
        stop.await.unwrap();
    }
    let relays = start_routers(&deployment, ONE_ZONE).await;
    sleep(CONTACT_TIME).await;
    assert_contained(&relays, &replicas).await;
}

/// Guards against routers that need the store to tell one another of crashes.
#[tokio::test]
async fn crashes_during_a_store_outage_contain_a_request() {
    let (deployment, replicas) = deployment(RunKind::Once).await;
    let relays = start_routers(&deployment, THREE_ZONES).await;
    assert_contained_in_an_outage(&deployment, &relays, &replicas).await;
}

/// Guards against routers that start together just before an outage and don't know one another.
#[tokio::test]
async fn crashes_in_an_outage_that_begins_at_the_start_contain_a_request() {
    let (deployment, replicas) = deployment(RunKind::Once).await;
    // A fleet that ran before has a secret, so that no router waits for another one to write it.
    deployment
        .store
        .put(ROUTER_TOPIC, "secret", b"of-the-fleet");
    let starts = THREE_ZONES.map(|(host, zone)| deployment.relay_in(host, zone));
    let relays = join_all(starts).await;
    eventually("each router has registered", async || {
        THREE_ZONES.iter().all(|(host, _)| {
            let key = format!("router/{host}");
            deployment.store.newest(ROUTER_TOPIC, &key).is_some()
        })
    })
    .await;
    assert_contained_in_an_outage(&deployment, &relays, &replicas).await;
}

/// Guards against a router that is ready before it knows crashes that are only in the memory of others: it ran the request again.
#[tokio::test]
async fn a_router_that_starts_knows_crashes_that_are_not_stored_yet() {
    let (deployment, replicas) = deployment(RunKind::Idempotent).await;
    let relays = start_routers(&deployment, THREE_ZONES).await;
    deployment.store.set_faults(FaultOrder {
        outage: Some(OutageOrder {
            answer: OutageAnswer::Unavailable,
            path: APPEND_PATH.to_owned(),
        }),
        ..FaultOrder::default()
    });
    call(request(&relays[2], CRASHING, "first")).await;
    take_down_crashed(&replicas).await;
    assert_eq!(runs_of(&replicas, CRASHING), 3);
    // The crashes are stored only after a retry delay that has just begun.
    sleep(STORE_RETRY_TIME).await;
    deployment.store.set_faults(FaultOrder::default());
    let started = deployment.unready_relay("entry-4").await;
    for number in 0..20 {
        call(request(&started, CRASHING, &format!("again-{number}"))).await;
        take_down_crashed(&replicas).await;
    }
    assert_eq!(runs_of(&replicas, CRASHING), 3);
}

/// The same for a router that has started during the outage, and knew no other router until its end.
#[tokio::test]
async fn a_router_that_starts_in_an_outage_knows_crashes_that_are_not_stored_yet() {
    let (deployment, replicas) = deployment(RunKind::Idempotent).await;
    let relays = start_routers(&deployment, THREE_ZONES).await;
    deployment.store.set_faults(FaultOrder {
        outage: Some(OutageOrder {
            answer: OutageAnswer::Unavailable,
            path: String::new(),
        }),
        ..FaultOrder::default()
    });
    let started = deployment.unready_relay("entry-4").await;
    sleep(OUTAGE_TIME).await;
    call(request(&relays[2], CRASHING, "first")).await;
    take_down_crashed(&replicas).await;
    assert_eq!(runs_of(&replicas, CRASHING), 3);
    sleep(STORE_RETRY_TIME).await;
    deployment.store.set_faults(FaultOrder::default());
    for number in 0..60 {
        call(request(&started, CRASHING, &format!("again-{number}"))).await;
        take_down_crashed(&replicas).await;
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(runs_of(&replicas, CRASHING), 3);
}

/// Guards against an upstream that restarts under its id and counts only once.
#[tokio::test]
async fn three_crashes_of_an_upstream_that_restarts_under_its_id_contain_a_request() {
    let deployment = Deployment::start().await;
    deployment.configure(1, &[rule("/letters/", RunKind::Once)]);
    let replicas = deployment.replicas(["up-1"], &crashing_plan()).await;
    let relays = vec![deployment.relay().await];
    for start in 2..=4 {
        send_to_all(&relays, &replicas, 1).await;
        replicas[0].restart().await;
        let mut record = replicas[0].record(UpstreamStage::Ready, 1);
        record.incarnation.started_at = Some(UnixMillis(start));
        let entry = encode_upstream(&record);
        deployment.store.put(UPSTREAM_TOPIC, "up-1", &entry);
        sleep(deployment.bounds.drain).await;
    }
    assert_eq!(runs_of(&replicas, CRASHING), 3);
    assert_contained(&relays, &replicas).await;
}

/// Guards against answers in between that make the routers forget the crashes: an equal request that is
/// answered, and an error answer of an upstream that did not crash.
#[tokio::test]
async fn an_answer_in_between_does_not_reset_the_crashes() {
    let (deployment, replicas) = deployment(RunKind::Once).await;
    let relays = vec![deployment.relay().await];
    for status in [StatusCode::OK, StatusCode::INTERNAL_SERVER_ERROR] {
        send_to_all(&relays, &replicas, 1).await;
        plan_all(
            &replicas,
            &ReplicaPlan {
                status,
                ..ReplicaPlan::default()
            },
        );
        assert_eq!(send_to_all(&relays, &replicas, 1).await, [status]);
        plan_all(&replicas, &crashing_plan());
    }
    send_to_all(&relays, &replicas, 1).await;
    assert_contained(&relays, &replicas).await;
}

fn plan_all(replicas: &[ReplicaStandin], plan: &ReplicaPlan) {
    for replica in replicas {
        replica.plan(plan.clone());
    }
}
