//! Admission on a running fleet: workspace limits and deadlines.

use std::time::Duration;

use ferry_decisions::config::{
    ObjectKey, ObjectKind, ObjectSpec, RateLimit, WorkspaceSpec, key_digest,
};
use ferry_decisions::labels::LabelSet;
use ferry_rig::{ChatCall, ChatResult, FleetRig, RigClient, eventually};
use futures::future::join_all;
use hyper::Method;
use serde_json::json;
use tokio::time::timeout;

use crate::sample::{client, fleet};

/// API key of the workspace that has a rate limit.
const LIMITED_KEY: &str = "limited-key";
/// Limit on the wait for a refusal: far above the time that one takes, and far below the default deadline of 60 s.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(20);

async fn publish_limit(rig: &FleetRig, limit: RateLimit) {
    let spec = WorkspaceSpec {
        labels: LabelSet::default(),
        key_digests: vec![key_digest(LIMITED_KEY)],
        limit: Some(limit),
        services: Vec::new(),
    };
    let key = ObjectKey::new(ObjectKind::Workspace, "limited");
    rig.publish_everywhere(vec![(key, Some(ObjectSpec::Workspace(spec)))])
        .await;
}

#[tokio::test]
async fn a_workspace_over_its_limit_is_refused_with_a_retry_after() {
    let rig = fleet(3).await;
    let limit = RateLimit {
        requests_per_second: 0.5,
        burst: 4,
    };
    publish_limit(&rig, limit).await;
    let limited = RigClient::new(LIMITED_KEY);
    let call = ChatCall::new("small-1", "Text").unstreamed();
    let mut refused = 0;
    for number in 0..60 {
        let address = rig.callers(number % 3);
        if let ChatResult::Refused(refusal) = limited.chat(&address, &call).await {
            assert_eq!(refusal.kind(), "workspace_limit");
            assert_eq!(refusal.run, "not_run");
            assert!(refusal.retry_after.is_some_and(|seconds| seconds >= 1));
            refused += 1;
        }
    }
    assert!(refused >= 30, "{refused} of 60 refused");
    let others = (0..9).map(|number| {
        let address = rig.callers(number % 3);
        async move {
            client()
                .chat(&address, &ChatCall::new("small-1", "Text"))
                .await
        }
    });
    for result in join_all(others).await {
        result.answer();
    }
}

#[tokio::test]
async fn a_deadline_that_cannot_be_met_is_refused_at_once_when_latencies_are_known() {
    let rig = fleet(1).await;
    let address = rig.callers(0);
    let long = ChatCall::new("small-1", "Text").tokens(200);
    let caller = client();
    let warm_up = (0..40).map(|_| caller.chat(&address, &long));
    for result in join_all(warm_up).await {
        result.answer();
    }
    let near = long.header("ferry-deadline-ms", "20");
    let mut refused = 0;
    for _ in 0..10 {
        let result = timeout(REFUSAL_TIMEOUT, caller.chat(&address, &near)).await;
        if let ChatResult::Refused(refusal) = result.unwrap()
            && refusal.kind() == "deadline_too_near"
        {
            assert_eq!(refusal.run, "not_run");
            assert!(refusal.retry_after.is_some());
            refused += 1;
        }
    }
    assert!(refused > 0, "no request was refused for its deadline");
}

/// Guards against a step duration in a load report that ends the task of each request to its engine, which then gets no answer.
#[tokio::test]
async fn a_step_duration_of_any_size_costs_no_request_its_answer() {
    let rig = fleet(1).await;
    let address = rig.callers(0);
    let call = ChatCall::new("small-1", "Text").tokens(200);
    let caller = client();
    let warm_up = (0..40).map(|_| caller.chat(&address, &call));
    for result in join_all(warm_up).await {
        result.answer();
    }
    for engine in &rig.engines {
        let engine = engine.process.address("listening");
        let stated = json!({ "stated_step_ms": 1e300 });
        rig.order(&engine, Method::PUT, "/standin/faults", &stated)
            .await;
    }
    // Once the router has read the reports, the answer would come too late.
    let refused = eventually("the router reads the load reports", || async {
        match timeout(REFUSAL_TIMEOUT, caller.chat(&address, &call)).await {
            Ok(ChatResult::Answered(_)) => None,
            result => Some(result.unwrap()),
        }
    })
    .await;
    match refused {
        ChatResult::Refused(refusal) => {
            assert_eq!(refusal.kind(), "deadline_too_near");
            assert_eq!(refusal.run, "not_run");
        }
        other => panic!("{other:?}"),
    }
}
