//! Steps that inject faults: into processes, links and the platform.

use cucumber::{then, when};
use ferry_rig::eventually;
use serde_json::json;

use crate::scenario_world::ScenarioWorld;

#[when(expr = "router {int} is killed")]
async fn kill(world: &mut ScenarioWorld, router: usize) {
    world.rig_mut().routers[router - 1].process.kill().await;
}

#[when(expr = "router {int} is replaced")]
async fn replace(world: &mut ScenarioWorld, router: usize) {
    world.rig_mut().restart_router(router - 1).await.unwrap();
}

#[when(expr = "router {int} is frozen")]
async fn freeze(world: &mut ScenarioWorld, router: usize) {
    world.rig().routers[router - 1].process.freeze().await;
}

#[when(expr = "router {int} is thawed")]
async fn thaw(world: &mut ScenarioWorld, router: usize) {
    world.rig().routers[router - 1].process.thaw();
}

#[when(expr = "router {int} is told to stop")]
async fn terminate(world: &mut ScenarioWorld, router: usize) {
    world.rig().routers[router - 1].process.terminate();
}

#[then(expr = "router {int} ends with exit code {int}")]
async fn exits(world: &mut ScenarioWorld, router: usize, code: i32) {
    let process = &mut world.rig_mut().routers[router - 1].process;
    assert_eq!(process.wait().await, Some(code));
}

#[when(expr = "router {int} is cut off from the log")]
async fn cut_log(world: &mut ScenarioWorld, router: usize) {
    world.rig().routers[router - 1].platform_link.cut();
}

#[when(expr = "router {int} is cut off from its peers")]
async fn cut_peers(world: &mut ScenarioWorld, router: usize) {
    world.rig().cut_peers(router - 1);
}

#[when("all links are healed")]
async fn heal(world: &mut ScenarioWorld) {
    world.rig().heal();
}

#[when("the log fails")]
async fn log_fails(world: &mut ScenarioWorld) {
    let faults = json!({ "outage": { "answer": "unavailable", "path": "/streams" } });
    world.rig().platform_faults(&faults).await;
}

#[when(expr = "the log loses its next {int} answers")]
async fn log_loses_answers(world: &mut ScenarioWorld, count: u64) {
    let faults = json!({ "lose_answers": { "count": count, "path": "/streams" } });
    world.rig().platform_faults(&faults).await;
}

#[when("the log returns")]
async fn log_returns(world: &mut ScenarioWorld) {
    world.rig().platform_heal().await;
}

#[when(expr = "engine {int} breaks its streams after {int} tokens")]
async fn break_streams(world: &mut ScenarioWorld, engine: usize, tokens: u64) {
    order_engine(world, engine, &json!({ "break_streams_after": tokens })).await;
}

#[when(expr = "engine {int} says that it is leaving")]
async fn engine_leaves(world: &mut ScenarioWorld, engine: usize) {
    order_engine(world, engine, &json!({ "leaving": true })).await;
}

#[when(expr = "all routers know that {int} upstream(s) is/are leaving")]
async fn until_leaving_known(world: &mut ScenarioWorld, count: u64) {
    for index in 0..world.rig().routers.len() {
        eventually(
            "the router knows the number of leaving upstreams",
            || async {
                let status = world.rig().admin(index, "/status").await?;
                (status["plugins"]["host_list"]["leaving"] == count).then_some(())
            },
        )
        .await;
    }
    world.received_before = received_count(world, 1).await;
}

#[then(expr = "engine {int} received no request after all routers knew that it was leaving")]
async fn received_no_request(world: &mut ScenarioWorld, engine: usize) {
    assert_eq!(received_count(world, engine).await, world.received_before);
}

/// Number of requests that the engine started or refused.
async fn received_count(world: &ScenarioWorld, engine: usize) -> u64 {
    let address = world.rig().engines[engine - 1].process.address("control");
    let counters = world.rig().counters(&address).await;
    let count = |name: &str| counters["totals"][name].as_u64().unwrap_or_default();
    count("started") + count("refused")
}

#[when(expr = "engine {int} is killed")]
async fn kill_engine(world: &mut ScenarioWorld, engine: usize) {
    world.rig_mut().engines[engine - 1].process.kill().await;
}

async fn order_engine(world: &mut ScenarioWorld, engine: usize, faults: &serde_json::Value) {
    let address = world.rig().engines[engine - 1].process.address("control");
    let method = hyper::Method::PUT;
    let path = "/standin/faults";
    world.rig().order(&address, method, path, faults).await;
}
