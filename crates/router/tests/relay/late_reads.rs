//! A router whose event loop is behind: what it promised its callers counts from the arrival of a request, not from its reading.
//!
//! Load pattern: requests arrive while the router does other work for a while, and are read all at once afterwards.

use std::thread;
use std::time::Duration;

use ferry_decisions::ruleset::{RouteRule, RunKind};
use ferry_router::relay::RelayDaemon;
use ferry_standin::{ReplicaPlan, ReplicaStandin};
use hyper::StatusCode;
use tokio::runtime::{Builder, Runtime};
use tokio::time::{Instant, sleep};

use crate::deployment::{Deployment, call, eventually, is_ready, request, rule};

/// Time that the rule gives each request.
const RULE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after that in which callers must have their answer: half a second is allowed, which the network needs a part of.
const ANSWER_TOLERANCE: Duration = Duration::from_millis(250);

/// A router whose tasks all run on one thread, which a test can block.
struct BlockedRouter {
    deployment: Deployment,
    replica: ReplicaStandin,
    runtime: Runtime,
    relay: RelayDaemon,
}

impl BlockedRouter {
    async fn start(run: RunKind, run_time: Duration) -> Self {
        let deployment = Deployment::start().await;
        let rule = RouteRule {
            timeout: RULE_TIMEOUT,
            ..rule("/letters/", run)
        };
        deployment.configure(1, &[rule]);
        let replica = deployment.replica("up-1", "v1").await;
        replica.plan(ReplicaPlan {
            wait: run_time,
            ..ReplicaPlan::default()
        });
        let mut builder = Builder::new_multi_thread();
        let runtime = builder.worker_threads(1).enable_all().build().unwrap();
        let relay = deployment.start_on(&runtime, "entry-1").await;
        eventually("the router is ready", async || is_ready(&relay).await).await;
        Self {
            deployment,
            replica,
            runtime,
            relay,
        }
    }

    /// Sends a request while the router does nothing for `blocked`; returns the status and the time that the caller waited.
    async fn call_while_blocked(&self, blocked: Duration) -> (StatusCode, Duration) {
        self.runtime.spawn(async move { thread::sleep(blocked) });
        // The thread is busy by then.
        sleep(Duration::from_millis(20)).await;
        let sent_at = Instant::now();
        let response = call(request(&self.relay, "/letters/7", "a-1")).await;
        (response.status, sent_at.elapsed())
    }

    /// Ends the router's tasks without waiting for them.
    fn stop(self) {
        drop(self.deployment);
        self.runtime.shutdown_background();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_time_is_over_when_it_is_read_is_rejected_and_not_sent() {
    for run in [RunKind::Once, RunKind::Idempotent] {
        let router = BlockedRouter::start(run, Duration::ZERO).await;
        let (status, _) = router.call_while_blocked(RULE_TIMEOUT * 2).await;
        assert_eq!(router.replica.runs().len(), 0, "{run:?}: {status}");
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{run:?}");
        router.stop();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_is_read_late_is_answered_in_the_time_that_counts_from_its_arrival() {
    let router = BlockedRouter::start(RunKind::Once, RULE_TIMEOUT).await;
    let (status, took) = router.call_while_blocked(RULE_TIMEOUT * 3 / 4).await;
    assert!(
        took <= RULE_TIMEOUT + ANSWER_TOLERANCE,
        "{status} after {took:?}"
    );
    let runs = router.replica.runs();
    let given: Vec<_> = runs
        .iter()
        .filter_map(|run| run.request.time_left)
        .collect();
    let most = RULE_TIMEOUT / 4 + Duration::from_millis(60);
    assert!(given.iter().all(|given| *given <= most), "{given:?}");
    router.stop();
}
