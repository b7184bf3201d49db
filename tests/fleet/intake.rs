//! What is taken in: workspace limits and deadlines, on a running fleet.

use std::time::Duration;

use ferry_decisions::config::{
    ObjectKey, ObjectKind, ObjectSpec, RateLimit, WorkspaceSpec, key_digest,
};
use ferry_decisions::labels::LabelSet;
use ferry_rig::{ChatCall, ChatResult, FleetRig, RigClient};
use futures::future::join_all;
use tokio::time::timeout;

use crate::sample::{client, fleet};

/// Key of the workspace with a limit.
const LIMITED_KEY: &str = "limited-key";
/// Time in which a refusal comes, far above what it needs and far below any deadline here.
const REFUSAL_LIMIT: Duration = Duration::from_secs(20);

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
async fn a_workspace_beyond_its_limit_is_refused_and_told_when_to_come_back() {
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
async fn a_deadline_that_cannot_be_met_is_refused_at_once_when_times_are_known() {
    let rig = fleet(1).await;
    let address = rig.callers(0);
    let long = ChatCall::new("small-1", "Text").tokens(200);
    let caller = client();
    let known = (0..40).map(|_| caller.chat(&address, &long));
    for result in join_all(known).await {
        result.answer();
    }
    let near = long.header("ferry-deadline-ms", "20");
    let mut refused = 0;
    for _ in 0..10 {
        let result = timeout(REFUSAL_LIMIT, caller.chat(&address, &near)).await;
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
