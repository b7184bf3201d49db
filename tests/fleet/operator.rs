//! `ferryctl` on a running fleet.

use ferry_rig::{ChatCall, FleetRig};
use serde_json::Value;

use crate::sample::{client, fleet};

/// Configuration file of an operator that adds a second version of the sample model.
const NEW_VERSION: &str = "
versions:
  small-2:
    model: assistant
    labels: {size: small}
    share: 0
";

async fn apply(rig: &FleetRig, name: &str, text: &str) -> ferry_rig::ToolOutput {
    let file = rig.write_file(name, text).unwrap();
    rig.ctl(&["apply", "-f", file.to_str().unwrap()])
        .await
        .unwrap()
}

#[tokio::test]
async fn a_change_is_followed_until_it_is_in_force() {
    let rig = fleet(3).await;
    let first = apply(&rig, "new.yaml", NEW_VERSION).await;
    assert_eq!(first.code, Some(0), "{}", first.errors);
    assert!(first.out.contains("in force everywhere"), "{}", first.out);
    let again = apply(&rig, "new.yaml", NEW_VERSION).await;
    assert_eq!(again.code, Some(0));
    assert!(again.out.contains("nothing to change"), "{}", again.out);

    let listed = rig.ctl(&["--json", "get", "version"]).await.unwrap();
    let listed: Value = serde_json::from_str(&listed.out).unwrap();
    let names = listed
        .as_array()
        .unwrap()
        .iter()
        .map(|v| v["key"]["name"].as_str());
    let names: Vec<_> = names.flatten().collect();
    assert_eq!(names, ["large-1", "small-1", "small-2"]);
}

#[tokio::test]
async fn a_withdrawal_and_its_effect_are_shown() {
    let rig = fleet(3).await;
    let withdrawn = rig.ctl(&["withdraw", "small-1"]).await.unwrap();
    assert_eq!(withdrawn.code, Some(0), "{}", withdrawn.errors);
    for index in 0..3 {
        let call = ChatCall::new("small-1", "Text").id("explained-1");
        let refusal = client().chat(&rig.callers(index), &call).await.refusal();
        assert_eq!(refusal.kind(), "no_version_allowed");
        assert_eq!(refusal.run, "not_run");
    }
    let shown = rig.ctl(&["get", "version", "small-1"]).await.unwrap();
    assert!(shown.out.contains("phase: withdrawn"), "{}", shown.out);
    let answered = ChatCall::new("assistant", "Text").id("explained-2");
    client().chat(&rig.callers(1), &answered).await.answer();
    let explained = rig.ctl(&["explain", "explained-2"]).await.unwrap();
    assert!(
        explained.out.contains("not used  small-1: withdrawn"),
        "{}",
        explained.out
    );
    assert!(explained.out.contains("large-1 on"), "{}", explained.out);
}

#[tokio::test]
async fn wrong_input_changes_nothing() {
    let rig = fleet(1).await;
    let before = rig.admin(0, "/config").await.unwrap()["hash"].clone();
    let cases = [
        ("versions:\n  v:\n    modle: assistant\n", "unknown field"),
        ("models:\n  a: {}\n  a: {}\n", "duplicate"),
        ("versions:\n  v: {model: no-such}\n", "does not exist"),
        (
            "rules:\n  r: {allow_versions: [no-such]}\n",
            "does not exist",
        ),
        (
            "rules:\n  r: {allow: {match_labels: {size: huge}}}\n",
            "matches no version",
        ),
    ];
    for (text, message) in cases {
        let output = apply(&rig, "bad.yaml", text).await;
        assert_eq!(output.code, Some(2), "{text}");
        assert!(output.errors.contains(message), "{}", output.errors);
    }
    let unknown = rig.ctl(&["withdraw", "no-such"]).await.unwrap();
    assert_eq!(unknown.code, Some(2));
    assert_eq!(rig.admin(0, "/config").await.unwrap()["hash"], before);
}

#[tokio::test]
async fn a_foreign_record_is_skipped_by_every_router() {
    let rig = fleet(2).await;
    rig.log()
        .append("config", "not a configuration record")
        .await
        .unwrap();
    let output = apply(&rig, "new.yaml", NEW_VERSION).await;
    assert_eq!(output.code, Some(0), "{}", output.errors);
    let hash = |status: Value| status["config"]["hash"].clone();
    let first = rig.admin(0, "/status").await.map(hash);
    let second = rig.admin(1, "/status").await.map(hash);
    assert_eq!(first, second);
}

#[tokio::test]
async fn the_admin_port_requires_its_token() {
    let rig = fleet(1).await;
    let address = rig.routers[0].process.address("admin");
    for path in ["/status", "/config", "/metrics", "/explain/x"] {
        let answer = client()
            .call(&address, hyper::Method::GET, path, &[], "")
            .await;
        assert_eq!(answer.unwrap().0, 401, "{path}");
    }
    let ready = client()
        .call(&address, hyper::Method::GET, "/readyz", &[], "")
        .await;
    assert_eq!(ready.unwrap().0, 200);
}
