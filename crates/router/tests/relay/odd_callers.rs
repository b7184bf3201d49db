//! Callers whose requests a sound upstream refuses, beside others.

use ferry_decisions::ruleset::RunKind;
use ferry_kernel::http::HttpRequest;
use ferry_platform::headers::CallerHeaders;
use ferry_rig::fixture_headers;
use ferry_router::relay::RelayDaemon;
use ferry_standin::ReplicaPlan;
use hyper::StatusCode;

use crate::deployment::{Deployment, call, request_with, rule};

/// Model that the upstreams have.
const MODEL: &str = "m0";
/// Requests of the odd caller.
const ODD_COUNT: usize = 12;

fn request_for(relay: &RelayDaemon, id: &str, model: &str) -> HttpRequest {
    let headers = CallerHeaders {
        model: Some(model),
        ..fixture_headers(id)
    };
    request_with(relay, "/letters/7", &headers)
}

/// Guards against a caller who names a model that nobody has, and for whose requests sound upstreams are out for good.
#[tokio::test(flavor = "multi_thread")]
async fn a_model_that_nobody_has_costs_its_caller_alone() {
    for run in [RunKind::Idempotent, RunKind::Once, RunKind::Stream] {
        let deployment = Deployment::start().await;
        deployment.configure(1, &[rule("/letters/", run)]);
        let plan = ReplicaPlan {
            models: vec![MODEL.to_owned()],
            events: u64::from(run == RunKind::Stream),
            ..ReplicaPlan::default()
        };
        let replicas = deployment.replicas(["up-1", "up-2", "up-3"], &plan).await;
        let relay = deployment.relay().await;
        for number in 0..ODD_COUNT {
            let odd = call(request_for(&relay, &format!("odd-{number}"), "m9")).await;
            assert_eq!(odd.status, StatusCode::MISDIRECTED_REQUEST, "{run:?}");
            let id = format!("sound-{number}");
            let sound = call(request_for(&relay, &id, MODEL)).await;
            assert_eq!(sound.status, StatusCode::OK, "{run:?}");
        }
        let sent: usize = replicas.iter().map(|replica| replica.runs().len()).sum();
        assert_eq!(sent, 2 * ODD_COUNT, "{run:?}: requests are sent again");
    }
}
