//! What goes wrong in one run, and when: drawn from a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Relays of a run.
pub const RELAYS: usize = 3;
/// Upstreams of a run: the first ones answer whole, the others with events.
pub const REPLICAS: usize = 5;
/// Time in which faults begin.
pub const FAULT_TIME: Duration = Duration::from_secs(11);
/// When the second key is taken away.
pub const REVOKED_AT: Duration = Duration::from_millis(2_500);
/// Most faults of a run.
const MOST_FAULTS: usize = 12;
/// Pause between two stops in a run with planned work only.
const STOP_PAUSE: Duration = Duration::from_millis(5_500);
/// One in so many other seeds loses the store around the moment at which the key is taken away.
const STORE_SEEDS: u64 = 4;
/// One in so many seeds plays planned work only.
const PLANNED_SEEDS: u64 = 3;

/// One thing that goes wrong, or is changed by operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakFault {
    /// A relay gets SIGTERM, and starts again after it ended.
    StopRelay(usize),
    /// A relay reads its settings again.
    ReloadRelay(usize),
    /// A relay is killed, and starts again after the fault's time.
    KillRelay(usize),
    /// A relay is suspended.
    FreezeRelay(usize),
    /// A relay's connections to the store are cut.
    CutStore(usize),
    /// They stay open, and nothing passes.
    StallStore(usize),
    /// The store answers no call, or some answers are lost, or all are late.
    StoreOut(StoreTrouble),
    /// The store forgets all but the newest records.
    CompactStore,
    /// An upstream's connections are cut.
    CutReplica(usize),
    /// They stay open, and nothing passes.
    StallReplica(usize),
    /// An upstream answers wrongly.
    SpoilReplica(usize, ReplicaTrouble),
    /// An upstream leaves as it should, and comes back.
    DrainReplica(usize),
    /// The operator writes a configuration with another time-out.
    Configure,
}

/// How the store misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreTrouble {
    /// Refuses all calls.
    Refuses,
    /// Closes all connections.
    Drops,
    /// Loses the answers of some appends.
    LosesAnswers,
    /// Answers late.
    Slow,
}

/// How an upstream misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaTrouble {
    /// Refuses all requests unrun.
    Full,
    /// Breaks off in its answers.
    BreaksOff,
    /// Answers with another request's identifier.
    WrongAnswers,
    /// Answers with a failure.
    Fails,
    /// Answers late.
    Slow,
}

/// A fault with its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimedFault {
    /// Time from the start of the load.
    pub at: Duration,
    /// How long it lasts, where it lasts.
    pub lasts: Duration,
    /// The fault.
    pub fault: SoakFault,
}

/// All faults of one run.
#[derive(Debug, Clone)]
pub struct FaultPlan {
    /// Seed that it was drawn from.
    pub seed: u64,
    /// Whether nothing but planned work happens.
    pub planned_only: bool,
    /// Faults in order of time; they may overlap.
    pub faults: Vec<TimedFault>,
}

impl FaultPlan {
    /// The plan of `seed`.
    pub fn of(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let planned_only = seed.is_multiple_of(PLANNED_SEEDS);
        let mut faults = if planned_only {
            planned_work(&mut random)
        } else {
            any_trouble(&mut random)
        };
        if !planned_only && seed % STORE_SEEDS == STORE_SEEDS - 1 {
            faults.push(lost_store(seed));
        }
        faults.sort_by_key(|fault| fault.at);
        Self {
            seed,
            planned_only,
            faults,
        }
    }
}

/// The store is lost before the key is taken away, for longer than the key may open anything then.
///
/// Drawn apart, so that the other faults of a seed stay what they were.
fn lost_store(seed: u64) -> TimedFault {
    let mut random = StdRng::seed_from_u64(!seed);
    let before = Duration::from_millis(random.random_range(100..1_500));
    TimedFault {
        at: REVOKED_AT - before,
        lasts: Duration::from_millis(random.random_range(7_000..9_000)),
        fault: SoakFault::StoreOut(match random.random() {
            true => StoreTrouble::Refuses,
            false => StoreTrouble::Drops,
        }),
    }
}

/// Stops in turn, and between them what operators and upstreams do every day.
fn planned_work(random: &mut StdRng) -> Vec<TimedFault> {
    let first = random.random_range(0..RELAYS);
    let stops = (0..2).map(|turn| TimedFault {
        at: Duration::from_millis(500) + STOP_PAUSE * turn,
        lasts: Duration::ZERO,
        fault: SoakFault::StopRelay((first + turn as usize) % RELAYS),
    });
    let mut faults: Vec<_> = stops.collect();
    for _ in 0..random.random_range(2..6) {
        let fault = match random.random_range(0..3) {
            0 => SoakFault::ReloadRelay(random.random_range(0..RELAYS)),
            1 => SoakFault::DrainReplica(random.random_range(0..REPLICAS)),
            _ => SoakFault::Configure,
        };
        faults.push(timed(random, fault));
    }
    faults
}

fn any_trouble(random: &mut StdRng) -> Vec<TimedFault> {
    let count = random.random_range(2..=MOST_FAULTS);
    (0..count)
        .map(|_| {
            let fault = any_fault(random);
            timed(random, fault)
        })
        .collect()
}

fn any_fault(random: &mut StdRng) -> SoakFault {
    let relay = random.random_range(0..RELAYS);
    let replica = random.random_range(0..REPLICAS);
    match random.random_range(0..13) {
        0 => SoakFault::StopRelay(relay),
        1 => SoakFault::ReloadRelay(relay),
        2 => SoakFault::KillRelay(relay),
        3 => SoakFault::FreezeRelay(relay),
        4 => SoakFault::CutStore(relay),
        5 => SoakFault::StallStore(relay),
        6 => SoakFault::StoreOut(match random.random_range(0..4) {
            0 => StoreTrouble::Refuses,
            1 => StoreTrouble::Drops,
            2 => StoreTrouble::LosesAnswers,
            _ => StoreTrouble::Slow,
        }),
        7 => SoakFault::CompactStore,
        8 => SoakFault::CutReplica(replica),
        9 => SoakFault::StallReplica(replica),
        10 => SoakFault::SpoilReplica(
            replica,
            match random.random_range(0..5) {
                0 => ReplicaTrouble::Full,
                1 => ReplicaTrouble::BreaksOff,
                2 => ReplicaTrouble::WrongAnswers,
                3 => ReplicaTrouble::Fails,
                _ => ReplicaTrouble::Slow,
            },
        ),
        11 => SoakFault::DrainReplica(replica),
        _ => SoakFault::Configure,
    }
}

fn timed(random: &mut StdRng, fault: SoakFault) -> TimedFault {
    let end = FAULT_TIME.as_millis() as u64;
    TimedFault {
        at: Duration::from_millis(random.random_range(0..end)),
        lasts: Duration::from_millis(random.random_range(200..5_000)),
        fault,
    }
}
