//! Strain on the upstreams and faults of the relays for the checks of the retry budget, generated from a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Number of upstreams.
pub const STRAINED_REPLICAS: usize = 6;
/// Time from the start of the load at which the strain ends.
pub const STRAIN_END: Duration = Duration::from_secs(15);
/// Number of relays of most runs.
const RELAYS: usize = 4;
/// Number of relays of a larger run.
const MANY_RELAYS: usize = 16;
/// One in this many seeds has a larger run.
const MANY_RELAYS_EVERY: u64 = 7;
/// Environment variable with the number of relays of each run.
const RELAYS_VARIABLE: &str = "FERRY_SOAK_RELAYS";

/// How an upstream answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaStrain {
    /// As it should.
    None,
    /// Rejects all requests without running them.
    Rejects,
    /// The same, and asks for a pause.
    AsksForPause(Duration),
    /// Answers with status 500.
    Fails,
    /// Breaks off the connection instead of an answer.
    BreaksOff,
    /// Answers long after the caller has to be served.
    Hangs,
}

/// Strain on some upstreams from a moment on.
#[derive(Debug, Clone, Copy)]
pub struct StrainPhase {
    /// Time from the start of the load.
    pub at: Duration,
    /// The first upstreams, up to this number, are strained; the others answer as they should.
    pub replicas: usize,
    /// How they answer.
    pub strain: ReplicaStrain,
}

/// What happens to a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayFault {
    /// Killed and started again at once.
    Kill,
    /// Stopped with SIGTERM and started again.
    Stop,
    /// Suspended for a time.
    Freeze(Duration),
    /// Cut off from the store for a time.
    CutStore(Duration),
}

/// The same fault at relays in turn.
#[derive(Debug, Clone, Copy)]
pub struct FaultSeries {
    /// Time from the start of the load.
    pub at: Duration,
    /// Pause between two relays.
    pub gap: Duration,
    /// Number of faults; beyond the number of relays, they begin again with the first one.
    pub count: usize,
    /// What happens to each.
    pub fault: RelayFault,
}

/// Plan of one run.
#[derive(Debug, Clone)]
pub struct BudgetPlan {
    /// Number of relays at the start.
    pub relays: usize,
    /// Number of callers.
    pub callers: usize,
    /// Pause of a caller between two requests.
    pub pause: Duration,
    /// Strain, in order.
    pub strain: Vec<StrainPhase>,
    /// Series of faults, which overlap.
    pub series: Vec<FaultSeries>,
    /// Times at which a relay is added.
    pub additions: Vec<Duration>,
}

impl BudgetPlan {
    /// Generates the plan of `seed`.
    pub fn from_seed(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let usual = match seed.is_multiple_of(MANY_RELAYS_EVERY) {
            true => MANY_RELAYS,
            false => RELAYS,
        };
        let relays = std::env::var(RELAYS_VARIABLE).ok();
        let relays = relays.map_or(usual, |text| text.parse().expect("a number of relays"));
        let (callers, pause_ms) = match random.random() {
            true => (12, 40),
            false => (8, 400),
        };
        Self {
            relays,
            callers,
            pause: Duration::from_millis(pause_ms),
            strain: strain(&mut random),
            series: series(&mut random, relays),
            additions: (0..random.random_range(0..3))
                .map(|_| millis(&mut random, 2_000, 12_000))
                .collect(),
        }
    }
}

/// A calm time, then either one failure of all upstreams that lasts, or phases that begin with strain on all of them.
fn strain(random: &mut StdRng) -> Vec<StrainPhase> {
    let mut at = millis(random, 3_000, 6_000);
    let mut phases = Vec::new();
    if random.random() {
        phases.push(StrainPhase {
            at,
            replicas: STRAINED_REPLICAS,
            strain: ReplicaStrain::Fails,
        });
        return phases;
    }
    while at < STRAIN_END {
        let replicas = match phases.is_empty() {
            true => STRAINED_REPLICAS,
            false => random.random_range(1..=STRAINED_REPLICAS),
        };
        let pause = millis(random, 800, 3_000);
        let strains = [
            ReplicaStrain::Rejects,
            ReplicaStrain::AsksForPause(pause),
            ReplicaStrain::Fails,
            ReplicaStrain::Fails,
            ReplicaStrain::BreaksOff,
            ReplicaStrain::Hangs,
            ReplicaStrain::None,
        ];
        let strain = *strains.choose(random).unwrap();
        phases.push(StrainPhase {
            at,
            replicas,
            strain,
        });
        at += millis(random, 1_000, 4_000);
    }
    phases
}

fn series(random: &mut StdRng, relays: usize) -> Vec<FaultSeries> {
    let count = random.random_range(1..=4);
    (0..count)
        .map(|_| {
            let fault = match random.random_range(0..6) {
                0 => RelayFault::Stop,
                1 => RelayFault::Freeze(millis(random, 300, 2_000)),
                2 => RelayFault::CutStore(millis(random, 500, 5_000)),
                _ => RelayFault::Kill,
            };
            FaultSeries {
                at: millis(random, 3_000, 9_000),
                gap: millis(random, 0, 400),
                count: relays * random.random_range(1..=5),
                fault,
            }
        })
        .collect()
}

fn millis(random: &mut StdRng, from: u64, to: u64) -> Duration {
    Duration::from_millis(random.random_range(from..to))
}
