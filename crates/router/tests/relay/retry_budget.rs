//! The bound on repeated sends, summed over the routers of the fleet, also while routers restart, appear, or
//! get traffic that others had.

use std::time::Duration;

use ferry_decisions::retry::FleetRetryBound;
use ferry_decisions::ruleset::RunKind;
use ferry_rig::worst_retry_excess;
use ferry_router::relay::RelayDaemon;
use ferry_standin::faults::{FaultOrder, OutageAnswer, OutageOrder};
use ferry_standin::{ReplicaPlan, ReplicaStandin};
use futures::future::join_all;
use hyper::StatusCode;
use tokio::time::{Instant, sleep};

use crate::deployment::{CollectedResponse, Deployment, call, request, rule};

/// Ids of the upstreams, more than a request is ever sent to.
const UPSTREAMS: [&str; 6] = ["up-1", "up-2", "up-3", "up-4", "up-5", "up-6"];
/// Hosts of the routers.
const HOSTS: [&str; 3] = ["entry-1", "entry-2", "entry-3"];

/// A fleet in front of upstreams that all follow one plan, and what its callers sent.
struct RetryFleet {
    deployment: Deployment,
    replicas: Vec<ReplicaStandin>,
    bound: FleetRetryBound,
    sent: Vec<Instant>,
}

impl RetryFleet {
    async fn start(bound: FleetRetryBound) -> Self {
        let mut deployment = Deployment::start().await;
        deployment.bounds.retry_ratio = bound.ratio;
        deployment.bounds.retry_burst = bound.burst;
        deployment.bounds.retry_window = bound.window;
        deployment.configure(1, &[rule("/letters/", RunKind::Idempotent)]);
        let replicas = deployment
            .replicas(UPSTREAMS, &ReplicaPlan::default())
            .await;
        Self {
            deployment,
            replicas,
            bound,
            sent: Vec::new(),
        }
    }

    /// Starts a router; one that runs on the same host already gets no more requests, as if it had been killed.
    async fn start_router(&self, host: &str) -> RelayDaemon {
        self.deployment.relay_on(host).await
    }

    /// Starts 30 routers together.
    async fn start_many_routers(&self) -> Vec<RelayDaemon> {
        let hosts: Vec<String> = (0..30).map(|number| format!("entry-{number}")).collect();
        join_all(hosts.iter().map(|host| self.start_router(host))).await
    }

    fn plan(&self, plan: &ReplicaPlan) {
        self.replicas
            .iter()
            .for_each(|replica| replica.plan(plan.clone()));
    }

    /// Sends `count` requests to each of `relays`, all at the same time, and waits for the answers.
    async fn call_each(&mut self, relays: &[&RelayDaemon], count: usize) -> Vec<CollectedResponse> {
        let mut calls = Vec::new();
        for relay in relays {
            for _ in 0..count {
                let id = format!("a-{}", self.sent.len());
                self.sent.push(Instant::now());
                calls.push(call(request(relay, "/letters/7", &id)));
            }
        }
        join_all(calls).await
    }

    fn assert_within_bound(&self) {
        let runs = self.replicas.iter().flat_map(ReplicaStandin::runs);
        let runs: Vec<_> = runs.collect();
        let excess = worst_retry_excess(&self.bound, &self.sent, &runs);
        assert!(excess.is_none(), "{}", excess.unwrap());
    }
}

fn failing(wait: Duration) -> ReplicaPlan {
    ReplicaPlan {
        status: StatusCode::INTERNAL_SERVER_ERROR,
        wait,
        ..ReplicaPlan::default()
    }
}

/// Guards against a share of the fleet's burst for each start of a router instead of each router.
#[tokio::test]
async fn routers_that_restart_often_stay_within_the_fleet_s_burst() {
    let bound = FleetRetryBound {
        ratio: 0.9,
        burst: 24.0,
        window: Duration::from_secs(10),
    };
    let mut fleet = RetryFleet::start(bound).await;
    fleet.plan(&failing(Duration::ZERO));
    for start in 0..40 {
        let relay = fleet.start_router(HOSTS[start % HOSTS.len()]).await;
        fleet.call_each(&[&relay], 2).await;
    }
    fleet.assert_within_bound();
}

/// Guards against retries that are covered by requests before the window, and then again by those after a restart.
#[tokio::test]
async fn routers_that_restart_while_all_upstreams_fail_stay_within_the_bound() {
    let bound = FleetRetryBound {
        ratio: 0.9,
        burst: 12.0,
        window: Duration::from_secs(4),
    };
    let mut fleet = RetryFleet::start(bound).await;
    let mut relays = Vec::new();
    for host in HOSTS {
        relays.push(fleet.start_router(host).await);
    }
    fleet
        .call_each(&relays.iter().collect::<Vec<_>>(), 100)
        .await;
    sleep(bound.window.mul_f64(0.75)).await;
    fleet.plan(&failing(Duration::ZERO));
    for host in HOSTS {
        fleet.call_each(&[&relays.remove(0)], 30).await;
        relays.push(fleet.start_router(host).await);
    }
    fleet
        .call_each(&relays.iter().collect::<Vec<_>>(), 100)
        .await;
    fleet.assert_within_bound();
}

/// Guards against windows of single routers, which end at different times and so don't add up to one of the fleet.
#[tokio::test]
async fn traffic_that_moves_to_another_router_does_not_exceed_the_bound() {
    let bound = FleetRetryBound {
        ratio: 0.9,
        burst: 12.0,
        window: Duration::from_secs(6),
    };
    let mut fleet = RetryFleet::start(bound).await;
    let before = fleet.start_router(HOSTS[0]).await;
    let after = fleet.start_router(HOSTS[1]).await;
    let time_of_failure = bound.window.mul_f64(0.75);
    fleet.plan(&failing(time_of_failure));
    let slow = (0..100).map(|number| {
        fleet.sent.push(Instant::now());
        let id = format!("slow-{number}");
        tokio::spawn(call(request(&before, "/letters/7", &id)))
    });
    let slow: Vec<_> = slow.collect();
    sleep(time_of_failure).await;
    fleet.plan(&failing(Duration::ZERO));
    fleet.call_each(&[&after], 100).await;
    join_all(slow).await;
    fleet.assert_within_bound();
}

/// Guards against routers that take a share of the burst before they know how many routers there are.
#[tokio::test]
async fn many_routers_that_start_together_stay_within_the_fleet_s_burst() {
    let bound = FleetRetryBound {
        ratio: 0.9,
        burst: 24.0,
        window: Duration::from_secs(10),
    };
    let mut fleet = RetryFleet::start(bound).await;
    fleet.plan(&failing(Duration::ZERO));
    let relays = fleet.start_many_routers().await;
    fleet.call_each(&relays.iter().collect::<Vec<_>>(), 2).await;
    fleet.assert_within_bound();
}

/// Guards against routers that divide the burst by the routers that had registered before them.
#[tokio::test]
async fn routers_that_could_not_list_the_others_take_no_part_of_the_burst() {
    let bound = FleetRetryBound {
        ratio: 0.0,
        burst: 24.0,
        window: Duration::from_secs(3),
    };
    let mut fleet = RetryFleet::start(bound).await;
    fleet.plan(&failing(Duration::ZERO));
    let relays = fleet.start_many_routers().await;
    fleet.deployment.store.set_faults(FaultOrder {
        outage: Some(OutageOrder {
            answer: OutageAnswer::Unavailable,
            path: String::new(),
        }),
        ..FaultOrder::default()
    });
    sleep(bound.window).await;
    fleet.call_each(&relays.iter().collect::<Vec<_>>(), 1).await;
    fleet.assert_within_bound();
}
