//! Runs the scenarios of `tests/features` on fleets of processes.

mod billed_costs;
mod caller_load;
mod caller_steps;
mod config_steps;
mod fault_steps;
mod scenario_world;

#[path = "../fleet/sample.rs"]
mod sample;

use cucumber::World;

use crate::scenario_world::ScenarioWorld;

/// Number of fleets that run at once; each has about a dozen processes.
const PARALLEL_SCENARIOS: usize = 3;

#[tokio::main]
async fn main() {
    ScenarioWorld::cucumber()
        .with_default_cli()
        .max_concurrent_scenarios(PARALLEL_SCENARIOS)
        .fail_on_skipped()
        .run_and_exit("tests/features")
        .await;
}
