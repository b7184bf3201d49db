//! A soak of relays as processes: random faults from outside, and the promises checked from what callers
//! and upstreams see.
//!
//! `FERRY_SOAK_SEEDS=1..50 cargo test --test soak -- --nocapture` plays other seeds than the usual ones.

mod caller_load;
mod fault_plan;
mod promise_check;
mod soak_fleet;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ferry_rig::eventually;
use ferry_standin::replica::ReplicaRun;
use futures::future::join_all;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use caller_load::{CallEnd, CallRecord, call_each_kind, call_until};
use fault_plan::{FAULT_TIME, FaultPlan, REVOKED_AT};
use promise_check::SoakRecord;
use soak_fleet::SoakFleet;

/// Variable with other seeds than the usual ones, as FIRST..END.
const SEEDS_VARIABLE: &str = "FERRY_SOAK_SEEDS";
/// Seeds that each run of the tests plays: one with planned work only, one that loses the store while a key
/// is taken away, and two others.
const USUAL_SEEDS: [u64; 4] = [1, 2, 3, 7];
/// Seeds that are played at once.
const AT_ONCE: usize = 5;
/// Time that traffic goes on after the last fault began.
const AFTER_FAULTS: Duration = Duration::from_secs(3);
/// Time in which all serve again after the faults.
const RECOVERY: Duration = Duration::from_secs(12);
/// Seeds that once broke a promise, each with its cause.
const REGRESSIONS: &str = include_str!("regressions.txt");

#[tokio::test(flavor = "multi_thread")]
async fn every_seed_keeps_the_promises() {
    let mut broken = Vec::new();
    let seeds = seeds();
    for seeds in seeds.chunks(AT_ONCE) {
        let plays = seeds.iter().map(|seed| tokio::spawn(play(*seed)));
        for (seed, end) in seeds.iter().zip(join_all(plays).await) {
            let problems = end.unwrap_or_else(|error| vec![format!("the run failed: {error}")]);
            broken.extend(
                problems
                    .iter()
                    .map(|problem| format!("seed {seed}: {problem}")),
            );
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// The seeds of the variable, else the usual ones and those that once broke a promise.
fn seeds() -> Vec<u64> {
    if let Ok(text) = std::env::var(SEEDS_VARIABLE) {
        let (first, end) = text
            .split_once("..")
            .expect("seeds are given as FIRST..END");
        return (first.parse().unwrap()..end.parse().unwrap()).collect();
    }
    let lines = REGRESSIONS.lines().filter(|line| !line.starts_with('#'));
    let known = lines.filter_map(|line| line.split_whitespace().next());
    let known = known.map(|seed| seed.parse().expect("a line begins with its seed"));
    USUAL_SEEDS.into_iter().chain(known).collect()
}

/// Plays one seed; gives the broken promises.
async fn play(seed: u64) -> Vec<String> {
    let plan = FaultPlan::of(seed);
    let fleet = Arc::new(SoakFleet::start().await);
    let ready = || async { fleet.is_ready().await.then_some(()) };
    eventually("all relays are ready", ready).await;
    let stop = Arc::new(AtomicBool::new(false));
    let start = Instant::now();
    let load = tokio::spawn(call_until(Arc::clone(&fleet), Arc::clone(&stop)));
    let revoked = tokio::spawn(revoke(Arc::clone(&fleet), start + REVOKED_AT));
    let faults = plan.faults.iter().map(|timed| {
        let (fleet, timed) = (Arc::clone(&fleet), *timed);
        tokio::spawn(async move {
            sleep_until(start + timed.at).await;
            fleet.suffer(timed).await;
        })
    });
    let faults: Vec<_> = faults.collect();
    sleep(FAULT_TIME).await;
    let ends = join_all(faults).await;
    sleep(AFTER_FAULTS).await;
    stop.store(true, Ordering::Release);
    let calls = load.await.unwrap();
    let mut broken: Vec<_> = ends
        .into_iter()
        .filter_map(|end| {
            end.err()
                .map(|error| format!("a fault could not be lifted: {error}"))
        })
        .collect();
    broken.extend(check_recovery(&fleet).await);
    let runs = all_runs(&fleet);
    let record = SoakRecord {
        plan: &plan,
        calls: &calls,
        runs: &runs,
        revoked: revoked.await.unwrap(),
    };
    broken.extend(record.broken());
    let codes = fleet.stop_all().await;
    if codes.iter().any(|code| *code != Some(0)) {
        broken.push(format!("exit codes of graceful stops: {codes:?}"));
    }
    tell(&plan, &calls, &broken, &fleet);
    broken
}

async fn revoke(fleet: Arc<SoakFleet>, at: Instant) -> Instant {
    sleep_until(at).await;
    fleet.revoke();
    Instant::now()
}

/// After the faults every relay runs, is ready and serves each kind of request.
async fn check_recovery(fleet: &SoakFleet) -> Vec<String> {
    let mut broken = Vec::new();
    for (number, relay) in fleet.relays.iter().enumerate() {
        let mut process = relay.process.lock().await;
        if !process.is_running() {
            broken.push(format!("relay {number} ended by itself"));
            continue;
        }
        let ready = async {
            while !process.is_ready().await {
                sleep(Duration::from_millis(50)).await;
            }
        };
        if timeout(RECOVERY, ready).await.is_err() {
            broken.push(format!("relay {number} is not ready again"));
            continue;
        }
        let calls = call_each_kind(process.callers(), &format!("after-{number}")).await;
        let unserved = calls.iter().filter(|call| !is_served(call));
        broken.extend(unserved.map(|call| format!("relay {number} does not serve: {call:?}")));
    }
    broken
}

fn is_served(call: &CallRecord) -> bool {
    matches!(&call.end, CallEnd::Answered(status, _) if status.is_success())
}

/// Runs of the load, without those that only asked for recovery.
fn all_runs(fleet: &SoakFleet) -> Vec<ReplicaRun> {
    let replicas = fleet.replicas.iter();
    replicas
        .flat_map(|replica| replica.standin.runs())
        .filter(|run| !run.request.attempt_id.starts_with("after-"))
        .collect()
}

/// Says what was played; keeps the logs of a seed that broke a promise.
fn tell(plan: &FaultPlan, calls: &[CallRecord], broken: &[String], fleet: &SoakFleet) {
    let served = calls.iter().filter(|call| is_served(call)).count();
    println!(
        "seed {}: {} of {} requests served, {} promises broken, faults {:?}",
        plan.seed,
        served,
        calls.len(),
        broken.len(),
        plan.faults
    );
    if broken.is_empty() {
        return;
    }
    let kept = std::env::temp_dir().join(format!("ferry-soak-{}", plan.seed));
    let _ = std::fs::create_dir_all(&kept);
    for entry in std::fs::read_dir(fleet.folder.path())
        .into_iter()
        .flatten()
        .flatten()
    {
        let _ = std::fs::copy(entry.path(), kept.join(entry.file_name()));
    }
    println!("seed {}: logs in {}", plan.seed, kept.display());
}
