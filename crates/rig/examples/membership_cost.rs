//! Measures the cost of membership per router, and the time until configuration changes are in force.
//!
//! Run with `cargo run -p ferry-rig --example membership_cost -- FOLDER`, where FOLDER holds the built programs.

use std::path::{Path, PathBuf};
use std::time::Duration;

use ferry_decisions::config::{ModelSpec, ObjectKey, ObjectKind, ObjectSpec};
use ferry_decisions::labels::LabelSet;
use ferry_rig::{FleetRig, Programs, eventually};
use tokio::time::{Instant, sleep};

/// Fleet sizes measured, in routers.
const FLEET_SIZES: [usize; 3] = [3, 8, 16];
/// Size of the fleet on which changes are timed, in routers.
const CHANGE_FLEET_SIZE: usize = 8;
/// Number of changes timed.
const CHANGE_COUNT: usize = 200;
/// Duration of one cost measurement.
const MEASURED_TIME: Duration = Duration::from_secs(10);
/// Interval between two checks of a change.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Ticks of processor time per second, as Linux reports them in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Resources that one router has used since its start.
struct RouterUsage {
    bytes: u64,
    ticks: u64,
}

#[tokio::main]
async fn main() {
    let folder = std::env::args_os().nth(1);
    let folder =
        PathBuf::from(folder.expect("the first argument is the folder of the built programs"));
    for routers in FLEET_SIZES {
        let rig = fleet(&folder, routers).await;
        print_costs(&rig).await;
        if routers == CHANGE_FLEET_SIZE {
            print_changes(&rig).await;
        }
    }
}

/// Starts a fleet and waits until every router receives heartbeats from all others.
async fn fleet(folder: &Path, routers: usize) -> FleetRig {
    let programs = Programs {
        router: folder.join("ferry-router"),
        standin: folder.join("ferry-standin"),
        ctl: folder.join("ferryctl"),
    };
    let mut rig = FleetRig::start(programs, &[])
        .await
        .expect("the platform starts");
    for _ in 0..routers {
        rig.add_router().await.expect("the router starts");
    }
    for index in 0..routers {
        eventually("the router hears all others", || async {
            let status = rig.admin(index, "/status").await?;
            let live = status["plugins"]["membership"]["live"].as_array()?.len();
            (live == routers).then_some(())
        })
        .await;
    }
    rig
}

async fn print_costs(rig: &FleetRig) {
    let routers = rig.routers.len();
    let before = router_usages(rig).await;
    let started_at = Instant::now();
    sleep(MEASURED_TIME).await;
    let after = router_usages(rig).await;
    let seconds = started_at.elapsed().as_secs_f64() * routers as f64;
    let bytes: u64 = after
        .iter()
        .zip(&before)
        .map(|(a, b)| a.bytes - b.bytes)
        .sum();
    let ticks: u64 = after
        .iter()
        .zip(&before)
        .map(|(a, b)| a.ticks - b.ticks)
        .sum();
    println!(
        "{routers} routers, each: {:.0} bytes/s sent, {:.2} ms of processor time a second (whole process)",
        bytes as f64 / seconds,
        ticks as f64 * 1_000.0 / TICKS_PER_SECOND / seconds,
    );
}

async fn router_usages(rig: &FleetRig) -> Vec<RouterUsage> {
    let mut usages = Vec::new();
    for (index, node) in rig.routers.iter().enumerate() {
        let metrics = rig.metrics(index).await.expect("the router shows metrics");
        usages.push(RouterUsage {
            bytes: sent_bytes(&metrics),
            ticks: processor_ticks(node.process.id()),
        });
    }
    usages
}

fn sent_bytes(metrics: &str) -> u64 {
    metrics
        .lines()
        .filter(|line| line.starts_with("ferry_peer_sent_bytes_total"))
        .filter(|line| line.contains("heartbeat") || line.contains("config"))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum()
}

/// Processor time that the process has used, in ticks (user and system time).
fn processor_ticks(pid: i32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields = stat.rsplit(") ").next().unwrap_or_default();
    let ticks = fields.split(' ').skip(11).take(2);
    ticks.filter_map(|field| field.parse::<u64>().ok()).sum()
}

async fn print_changes(rig: &FleetRig) {
    let mut times = Vec::new();
    for number in 0..CHANGE_COUNT {
        let key = ObjectKey::new(ObjectKind::Model, "assistant");
        let labels = LabelSet::from_iter([("number", number.to_string().as_str())]);
        let spec = ObjectSpec::Model(ModelSpec { labels });
        let offset = rig
            .admin(0, "/status")
            .await
            .and_then(|status| status["config"]["next_offset"].as_u64());
        let path = format!(
            "/config/spread/{}",
            offset.expect("the router shows its state")
        );
        let started_at = Instant::now();
        rig.publish(vec![(key, Some(spec))]).await;
        eventually("the change is in force", || async {
            sleep(POLL_INTERVAL).await;
            let status = rig.admin(0, &path).await?;
            (status["stage"] == "in_force").then_some(())
        })
        .await;
        times.push(started_at.elapsed());
    }
    times.sort();
    println!(
        "{CHANGE_COUNT} changes on {} routers, from publishing to in force: median {:?}, longest {:?}",
        rig.routers.len(),
        times[CHANGE_COUNT / 2],
        times[CHANGE_COUNT - 1],
    );
}
