//! A small deployment and configuration that the tests share.

use ferry_decisions::config::{
    CascadeSpec, CascadeStage, ModelSpec, ObjectKey, ObjectKind, ObjectSpec, RuleSpec,
    VersionPhase, VersionSpec, WorkspaceSpec, key_digest,
};
use ferry_decisions::labels::{LabelSelector, LabelSet};
use ferry_rig::{FleetRig, Programs, RigClient};

/// API key of the sample workspace.
pub const KEY: &str = "clinic-key";

/// Paths of the binaries of this build.
pub fn programs() -> Programs {
    Programs {
        router: env!("CARGO_BIN_EXE_ferry-router").into(),
        standin: env!("CARGO_BIN_EXE_ferry-standin").into(),
        ctl: env!("CARGO_BIN_EXE_ferryctl").into(),
    }
}

/// A client with the API key of the sample workspace.
pub fn client() -> RigClient {
    RigClient::new(KEY)
}

/// Starts a fleet with `routers` routers, two engines for each of two versions, one service, and the
/// sample configuration in force.
pub async fn fleet(routers: usize) -> FleetRig {
    let mut rig = FleetRig::start(programs(), &[]).await.unwrap();
    for (host, version) in [
        ("engine-1", "small-1"),
        ("engine-2", "small-1"),
        ("engine-3", "large-1"),
        ("engine-4", "large-1"),
    ] {
        rig.add_engine(host, &[version], &["--step-ms", "5"])
            .await
            .unwrap();
    }
    rig.add_service("service-1", "letters", &[]).await.unwrap();
    for _ in 0..routers {
        rig.add_router().await.unwrap();
    }
    rig.wait_until_ready(5).await;
    rig.publish_everywhere(configuration()).await;
    rig
}

/// Objects of the sample configuration.
pub fn configuration() -> Vec<(ObjectKey, Option<ObjectSpec>)> {
    vec![
        object(
            ObjectKind::Workspace,
            "clinic",
            ObjectSpec::Workspace(workspace()),
        ),
        object(
            ObjectKind::Model,
            "assistant",
            ObjectSpec::Model(ModelSpec {
                labels: LabelSet::default(),
            }),
        ),
        version("small-1", "small", VersionPhase::Serving),
        version("large-1", "large", VersionPhase::Serving),
        object(
            ObjectKind::Cascade,
            "triage",
            ObjectSpec::Cascade(cascade()),
        ),
        object(ObjectKind::Rule, "all", ObjectSpec::Rule(rule())),
    ]
}

/// A version of the sample model.
pub fn version(name: &str, size: &str, phase: VersionPhase) -> (ObjectKey, Option<ObjectSpec>) {
    let spec = VersionSpec {
        model: "assistant".into(),
        labels: LabelSet::from_iter([("size", size)]),
        phase,
        share: 10_000,
        prompt_price: 100,
        completion_price: 1_000,
        rollout: None,
    };
    object(ObjectKind::Version, name, ObjectSpec::Version(spec))
}

fn object(kind: ObjectKind, name: &str, spec: ObjectSpec) -> (ObjectKey, Option<ObjectSpec>) {
    (ObjectKey::new(kind, name), Some(spec))
}

fn workspace() -> WorkspaceSpec {
    WorkspaceSpec {
        labels: LabelSet::from_iter([("team", "intake")]),
        key_digests: vec![key_digest(KEY)],
        limit: None,
        services: vec!["letters".into()],
    }
}

fn cascade() -> CascadeSpec {
    CascadeSpec {
        model: "assistant".into(),
        stages: vec![stage("small"), stage("large")],
        quality_target: 0.8,
    }
}

fn stage(size: &str) -> CascadeStage {
    CascadeStage {
        versions: selector(size),
    }
}

fn selector(size: &str) -> LabelSelector {
    LabelSelector {
        match_labels: [("size".to_owned(), size.to_owned())].into(),
        ..LabelSelector::default()
    }
}

fn rule() -> RuleSpec {
    RuleSpec {
        workspaces: LabelSelector::default(),
        requests: LabelSelector::default(),
        allow: Some(LabelSelector::default()),
        deny: None,
        allow_versions: Vec::new(),
    }
}
