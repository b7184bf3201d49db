//! Simulation of the fleet's append limit in virtual time.

use std::collections::VecDeque;
use std::time::Duration;

use ferry_decisions::bill::{AppendBudget, append_rate};
use ferry_decisions::claim::{SHARD_COUNT, owner_of};
use ferry_decisions::names::HostName;

/// Appends per second of the whole fleet.
const FLEET_RATE: f64 = 200.0;
const ROUTERS: usize = 8;
const STEP: Duration = Duration::from_micros(500);
/// Duration of one append.
const APPEND_TIME: Duration = Duration::from_millis(4);

/// Result of a simulated fleet.
#[derive(Debug, Default)]
struct FleetRun {
    /// Time from an entry's arrival to the end of its append, sorted.
    waits: Vec<Duration>,
    /// Appends made by all routers.
    appends: usize,
}

/// Entries of one stream, which one router owns.
#[derive(Debug, Default, Clone)]
struct StreamQueue {
    queued: VecDeque<Duration>,
    in_flight: Vec<Duration>,
    done_at: Duration,
}

/// Simulates `per_second` evenly spaced entries for `seconds`, distributed over the claim and bill
/// streams of `shards` shards.
fn simulate(per_second: u32, shards: u16, seconds: u64) -> FleetRun {
    let streams = 2 * shards;
    let hosts: Vec<_> = (0..ROUTERS)
        .map(|index| HostName::new(&format!("router-{index}")))
        .collect();
    let owners: Vec<usize> = (0..streams)
        .map(|shard| {
            let owner = owner_of(shard % shards, &hosts).unwrap();
            hosts.iter().position(|host| host == owner).unwrap()
        })
        .collect();
    let mut budgets: Vec<_> = (0..ROUTERS)
        .map(|router| {
            let owned = owners.iter().filter(|owner| **owner == router).count();
            let share = owned as f64 / f64::from(streams);
            let whole = append_rate(FLEET_RATE, usize::from(SHARD_COUNT));
            AppendBudget::new((whole * share).max(append_rate(FLEET_RATE, 0)))
        })
        .collect();
    let mut queues = vec![StreamQueue::default(); usize::from(streams)];
    let mut run = FleetRun::default();
    let gap = Duration::from_secs(1) / per_second;
    let (mut now, mut arrived) = (Duration::ZERO, 0_u32);
    while now < Duration::from_secs(seconds) {
        while gap * arrived <= now {
            let stream = arrived.wrapping_mul(2_654_435_761) >> 16;
            queues[stream as usize % usize::from(streams)]
                .queued
                .push_back(gap * arrived);
            arrived += 1;
        }
        for queue in &mut queues {
            if queue.done_at <= now {
                run.waits
                    .extend(queue.in_flight.drain(..).map(|at| now - at));
            }
        }
        for (router, budget) in budgets.iter_mut().enumerate() {
            append_oldest(&mut queues, &owners, router, budget, now, &mut run);
        }
        now += STEP;
    }
    run.waits.sort_unstable();
    run
}

/// Appends the entries of the stream whose first entry waits longest, as long as the budget allows.
fn append_oldest(
    queues: &mut [StreamQueue],
    owners: &[usize],
    router: usize,
    budget: &mut AppendBudget,
    now: Duration,
    run: &mut FleetRun,
) {
    while let Some(queue) = queues
        .iter_mut()
        .zip(owners)
        .filter(|(queue, owner)| **owner == router && queue.in_flight.is_empty())
        .map(|(queue, _)| queue)
        .filter(|queue| !queue.queued.is_empty())
        .min_by_key(|queue| queue.queued[0])
        && budget.take(now)
    {
        queue.in_flight = queue.queued.drain(..).collect();
        queue.done_at = now + APPEND_TIME;
        run.appends += 1;
    }
}

fn percentile(run: &FleetRun, hundredth: usize) -> Duration {
    run.waits[(run.waits.len() - 1) * hundredth / 100]
}

#[test]
fn the_first_append_is_immediate_and_the_mean_rate_is_bounded() {
    let mut budget = AppendBudget::new(25.0);
    let mut made = 0;
    for ms in 0..10_000 {
        if budget.take(Duration::from_millis(ms)) {
            made += 1;
        }
    }
    assert!(budget.wait(Duration::from_secs(20)).is_zero());
    assert!((250..=256).contains(&made), "{made} appends in 10 s");
}

#[test]
fn a_router_without_shards_keeps_a_small_share() {
    assert!(append_rate(FLEET_RATE, 0) > 0.0);
    let whole = append_rate(FLEET_RATE, usize::from(SHARD_COUNT));
    assert!((whole - FLEET_RATE).abs() < f64::EPSILON);
}

#[test]
fn the_fleet_stays_within_its_budget_and_every_entry_is_appended() {
    for shards in [64, 16, 8] {
        for per_second in [50, 100, 200, 500, 1_000] {
            let run = simulate(per_second, shards, 10);
            println!(
                "shards {shards:2} entries/s {per_second:4}: appends/s {:3}, wait p50 {:?} p99 {:?} max {:?}",
                run.appends / 10,
                percentile(&run, 50),
                percentile(&run, 99),
                percentile(&run, 100),
            );
            let allowed = FLEET_RATE * 10.2 + 2.0 * ROUTERS as f64;
            assert!(run.appends as f64 <= allowed, "{} appends", run.appends);
            let whole_cycle = Duration::from_secs_f64(4.0 * f64::from(shards) / FLEET_RATE);
            let longest = whole_cycle + Duration::from_millis(100);
            assert!(percentile(&run, 100) <= longest);
        }
    }
}
