//! Steps of operators: changes of versions and the configuration of routers.

use cucumber::{then, when};
use ferry_decisions::config::VersionPhase;
use ferry_rig::eventually;

use crate::sample::version;
use crate::scenario_world::ScenarioWorld;

#[when(expr = "version {string} of size {string} is withdrawn everywhere")]
async fn withdraw_everywhere(world: &mut ScenarioWorld, name: String, size: String) {
    let change = version(&name, &size, VersionPhase::Withdrawn);
    world.rig().publish_everywhere(vec![change]).await;
}

#[when(expr = "version {string} of size {string} is withdrawn")]
async fn withdraw(world: &mut ScenarioWorld, name: String, size: String) {
    let change = version(&name, &size, VersionPhase::Withdrawn);
    world.rig().publish(vec![change]).await;
}

#[when(expr = "version {string} of size {string} is retired everywhere")]
async fn retire_everywhere(world: &mut ScenarioWorld, name: String, size: String) {
    let change = version(&name, &size, VersionPhase::Retiring);
    world.rig().publish_everywhere(vec![change]).await;
}

#[when("two operators withdraw and retire \"small-1\" at once")]
async fn change_concurrently(world: &mut ScenarioWorld) {
    let withdrawal = version("small-1", "small", VersionPhase::Withdrawn);
    let retirement = version("small-1", "small", VersionPhase::Retiring);
    let changes = world.rig().publish_both(vec![withdrawal], vec![retirement]);
    let mut verdicts = Vec::new();
    for id in changes.await {
        let path = format!("/verdicts/{id}");
        let verdict = eventually("the change is judged", || world.rig().admin(0, &path)).await;
        verdicts.push(verdict["verdict"]["verdict"].as_str().unwrap().to_owned());
    }
    verdicts.sort();
    assert_eq!(verdicts, ["accepted", "conflict"]);
}

#[then("all routers hold the same configuration")]
async fn same_configuration(world: &mut ScenarioWorld) {
    eventually("all routers hold the same configuration", || async {
        let mut configurations = Vec::new();
        for index in 0..world.rig().routers.len() {
            configurations.push(world.rig().admin(index, "/status").await?["config"].clone());
        }
        configurations
            .windows(2)
            .all(|pair| pair[0] == pair[1])
            .then_some(())
    })
    .await;
}
