//! Measures what membership costs each router, and how fast changes come in force.
//!
//! `cargo run -p ferry-rig --example membership_cost -- FOLDER` with the folder of the built programs.

use std::path::{Path, PathBuf};
use std::time::Duration;

use ferry_decisions::config::{ModelSpec, ObjectKey, ObjectKind, ObjectSpec};
use ferry_decisions::labels::LabelSet;
use ferry_rig::{FleetRig, Programs, eventually};
use tokio::time::{Instant, sleep};

/// Fleets measured, in routers.
const FLEETS: [usize; 3] = [3, 8, 16];
/// Fleet whose changes are timed, in routers.
const CHANGED_FLEET: usize = 8;
/// Changes timed.
const CHANGES: usize = 200;
/// Time over which costs are measured.
const SPAN: Duration = Duration::from_secs(10);
/// Pause between two looks at a change.
const LOOK_PAUSE: Duration = Duration::from_millis(2);
/// Ticks of processor time in a second, as Linux reports them.
const TICKS_PER_SECOND: f64 = 100.0;

/// What one router has used so far.
struct RouterUse {
    bytes: u64,
    ticks: u64,
}

#[tokio::main]
async fn main() {
    let folder = std::env::args_os().nth(1);
    let folder = PathBuf::from(folder.expect("name the folder of the built programs"));
    for routers in FLEETS {
        let rig = fleet(&folder, routers).await;
        print_costs(&rig).await;
        if routers == CHANGED_FLEET {
            print_changes(&rig).await;
        }
    }
}

/// A fleet in which every router hears all others.
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
    let before = usage(rig).await;
    let began = Instant::now();
    sleep(SPAN).await;
    let after = usage(rig).await;
    let seconds = began.elapsed().as_secs_f64() * routers as f64;
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

async fn usage(rig: &FleetRig) -> Vec<RouterUse> {
    let mut uses = Vec::new();
    for (index, node) in rig.routers.iter().enumerate() {
        let metrics = rig.metrics(index).await.expect("the router shows metrics");
        uses.push(RouterUse {
            bytes: sent_bytes(&metrics),
            ticks: processor_ticks(node.process.id()),
        });
    }
    uses
}

fn sent_bytes(metrics: &str) -> u64 {
    metrics
        .lines()
        .filter(|line| line.starts_with("ferry_peer_sent_bytes_total"))
        .filter(|line| line.contains("heartbeat") || line.contains("config"))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum()
}

/// Processor time that the process has used.
fn processor_ticks(pid: i32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields = stat.rsplit(") ").next().unwrap_or_default();
    let ticks = fields.split(' ').skip(11).take(2);
    ticks.filter_map(|field| field.parse::<u64>().ok()).sum()
}

async fn print_changes(rig: &FleetRig) {
    let mut times = Vec::new();
    for number in 0..CHANGES {
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
        let began = Instant::now();
        rig.publish(vec![(key, Some(spec))]).await;
        eventually("the change is in force", || async {
            sleep(LOOK_PAUSE).await;
            let status = rig.admin(0, &path).await?;
            (status["stage"] == "in_force").then_some(())
        })
        .await;
        times.push(began.elapsed());
    }
    times.sort();
    println!(
        "{CHANGES} changes on {} routers, from publishing to in force: median {:?}, longest {:?}",
        rig.routers.len(),
        times[CHANGES / 2],
        times[CHANGES - 1],
    );
}
