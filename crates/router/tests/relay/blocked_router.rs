//! A router whose event loop a test can block.

use std::thread;
use std::time::Duration;

use ferry_decisions::ruleset::RouteRule;
use ferry_router::relay::RelayDaemon;
use ferry_standin::{ReplicaPlan, ReplicaStandin};
use tokio::runtime::{Builder, Runtime};
use tokio::time::sleep;

use crate::deployment::{Deployment, eventually, is_ready};

/// A router whose tasks all run on one thread, and its only upstream.
pub struct BlockedRouter {
    pub relay: RelayDaemon,
    pub replica: ReplicaStandin,
    deployment: Deployment,
    runtime: Runtime,
}

impl BlockedRouter {
    /// Starts a router with `rules`, and an upstream that runs each request for `run_time`.
    pub async fn start(rules: &[RouteRule], run_time: Duration) -> Self {
        let mut deployment = Deployment::start().await;
        // No request waits for newer entries after the block.
        deployment.bounds.drain = Duration::from_secs(5);
        deployment.configure(1, rules);
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
            relay,
            replica,
            deployment,
            runtime,
        }
    }

    /// Blocks the router's event loop for `time` from now on.
    pub async fn block(&self, time: Duration) {
        self.runtime.spawn(async move { thread::sleep(time) });
        // The thread is busy by then.
        sleep(Duration::from_millis(20)).await;
    }

    /// Ends the router's tasks without waiting for them.
    pub fn stop(self) {
        drop(self.deployment);
        self.runtime.shutdown_background();
    }
}
