//! Configurations that list workspaces without keys, or none.
//!
//! Load pattern: callers go on with keys that were taken away, until no workspace has one.

use ferry_decisions::ruleset::{RouteRule, RunKind};
use ferry_platform::entries::{CONFIG_KEY, encode_rules, with_workspaces};
use ferry_platform::headers::CallerHeaders;
use ferry_platform::store::OPERATOR_TOPIC;
use ferry_router::relay::RelayDaemon;
use hyper::StatusCode;

use crate::deployment::{Deployment, KEY, WORKSPACE, call, eventually, request_with, rule};

/// Keys of callers: none, the one that was taken away, and one that no configuration held.
const CALLER_KEYS: [Option<&str>; 3] = [None, Some(KEY), Some("unheard")];

/// Workspaces of a configuration, each with its keys; `None` for a configuration that says nothing of them.
type Workspaces<'a> = Option<&'a [(&'a str, &'a [&'a str])]>;

/// Writes a configuration with `workspaces` as `revision`.
fn configure(deployment: &Deployment, revision: u64, workspaces: Workspaces<'_>) {
    let public = RouteRule {
        public: true,
        ..rule("/open/", RunKind::Idempotent)
    };
    let rules = [rule("/letters/", RunKind::Idempotent), public];
    let config = encode_rules(revision, &deployment.limits, &rules, &[], &[]);
    let config = with_workspaces(&config, workspaces).unwrap();
    deployment.store.put(OPERATOR_TOPIC, CONFIG_KEY, &config);
}

async fn status(relay: &RelayDaemon, path: &str, key: Option<&str>) -> StatusCode {
    let headers = CallerHeaders {
        attempt_id: "a",
        key,
        ..CallerHeaders::default()
    };
    call(request_with(relay, path, &headers)).await.status
}

/// Waits until `relay` answers requests without a key with `expected`, and checks all other keys.
async fn expect_all(relay: &RelayDaemon, expected: StatusCode) {
    eventually("the configuration is in force", async || {
        status(relay, "/letters/7", None).await == expected
    })
    .await;
    for key in CALLER_KEYS {
        assert_eq!(status(relay, "/letters/7", key).await, expected, "{key:?}");
        assert_eq!(status(relay, "/open/7", key).await, StatusCode::OK);
    }
}

/// Guards against routers that let everybody in after the last key was taken away, whether they read the store, sync from another router or
/// start later.
#[tokio::test(flavor = "multi_thread")]
async fn workspaces_without_keys_let_nobody_in() {
    let deployment = Deployment::start().await;
    let _replica = deployment.replica("up-1", "v1").await;
    configure(&deployment, 1, None);
    let mut relays = vec![
        deployment.relay_in("entry-1", "zone-a").await,
        deployment.relay_in("entry-2", "zone-a").await,
        deployment.relay_in("entry-3", "zone-b").await,
    ];
    let closed: [&[(&str, &[&str])]; 2] = [&[(WORKSPACE, &[])], &[]];
    for (number, workspaces) in (1..).zip(closed) {
        configure(
            &deployment,
            10 * number,
            Some(&[(WORKSPACE, &[KEY] as &[&str])]),
        );
        for relay in &relays {
            eventually("the key opens requests", async || {
                status(relay, "/letters/7", Some(KEY)).await == StatusCode::OK
                    && status(relay, "/letters/7", None).await == StatusCode::UNAUTHORIZED
            })
            .await;
        }
        configure(&deployment, 10 * number + 1, Some(workspaces));
        for relay in &relays {
            eventually("the key is taken away", async || {
                status(relay, "/letters/7", Some(KEY)).await != StatusCode::OK
            })
            .await;
            expect_all(relay, StatusCode::UNAUTHORIZED).await;
        }
        relays.push(
            deployment
                .relay_in(&format!("late-{number}"), "zone-a")
                .await,
        );
        expect_all(relays.last().unwrap(), StatusCode::UNAUTHORIZED).await;
    }
    configure(&deployment, 100, None);
    for relay in &relays {
        expect_all(relay, StatusCode::OK).await;
    }
}
