//! Operators that change the same object at the same time.

use ferry_decisions::config::{ObjectKey, ObjectKind, ObjectSpec, VersionPhase};
use ferry_decisions::lease::PropagationStage;
use ferry_operator::fleet::{FleetClient, OperatorSettings};
use ferry_operator::publish::{ChangeDraft, PublishError, publish};
use ferry_rig::{ADMIN_TOKEN, FleetRig, LONG_WAIT};

use crate::fleet_checks::{VERSION, connected_fleet, until_same_config};

fn operator(rig: &FleetRig, name: &str) -> FleetClient {
    let routers = rig.routers.iter();
    let admin = |node: &ferry_rig::RouterNode| node.process.address("admin").parse().unwrap();
    FleetClient::new(OperatorSettings {
        operator: name.to_owned(),
        platform_url: rig.platform_url(),
        admin_token: ADMIN_TOKEN.to_owned(),
        routers: routers
            .map(|node| (node.host.clone(), admin(node)))
            .collect(),
        freshness_ms: 3_000,
    })
}

async fn set_phase(
    fleet: &FleetClient,
    draft: ChangeDraft,
    phase: VersionPhase,
) -> Result<(PropagationStage, u64), PublishError> {
    let mut draft = draft;
    let key = ObjectKey::new(ObjectKind::Version, VERSION);
    let ObjectSpec::Version(mut spec) = draft.base_spec(&key)?.clone() else {
        panic!("the object is a version");
    };
    spec.phase = phase;
    draft.set(key, ObjectSpec::Version(spec));
    let change = draft.finish(&fleet.settings.operator)?;
    let progress = publish(fleet, &change, LONG_WAIT, |_| {}).await?;
    Ok((progress.stage, progress.offset))
}

#[tokio::test]
async fn of_two_concurrent_changes_one_is_accepted_and_the_other_gets_a_conflict() {
    let rig = connected_fleet(3).await;
    let (first, second) = (operator(&rig, "first"), operator(&rig, "second"));
    let seen = first.newest_config().await.unwrap();
    let draft = ChangeDraft::new(seen.as_ref());
    let (one, other) = tokio::join!(
        set_phase(&first, draft.clone(), VersionPhase::Withdrawn),
        set_phase(&second, draft, VersionPhase::Retiring),
    );
    let (winner, loser) = if one.is_ok() {
        (one, other)
    } else {
        (other, one)
    };
    let (stage, offset) = winner.unwrap();
    assert_eq!(stage, PropagationStage::InForce);
    assert!(matches!(loser, Err(PublishError::Conflict(_))), "{loser:?}");
    until_same_config(&rig, &[0, 1, 2], offset).await;
}
