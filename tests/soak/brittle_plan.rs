//! Brittle upstreams, the load on them, and faults of relays, upstreams and store, generated from a seed.

use std::time::Duration;

use ferry_standin::brittle::{AnswerPlan, ReturnName};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Time from the start of the load at which upstreams say that they are brittle.
pub const SAYS_SO_AT: Duration = Duration::from_secs(3);
/// Time from the start of the load at which rejections break them down.
pub const QUEUES_FEW_AT: Duration = Duration::from_secs(6);
/// Time from the start of the load at which that ends, and the load with it.
pub const LOAD_END: Duration = Duration::from_secs(20);
/// Time from the start of the load at which the last fault begins.
const FAULTS_END: Duration = Duration::from_secs(15);
/// Number of relays of most runs.
const RELAYS: usize = 8;
/// Environment variable with the number of relays of each run.
const RELAYS_VARIABLE: &str = "FERRY_SOAK_RELAYS";

/// Environment variable with the number of upstreams of each run.
const UPSTREAMS_VARIABLE: &str = "FERRY_SOAK_UPSTREAMS";

/// What happens to a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrittleFault {
    /// Killed and started again at once.
    Kill,
    /// Stopped with SIGTERM and started again.
    Stop,
    /// Suspended for a time.
    Freeze(Duration),
    /// Cut off from the store for a time.
    CutStore(Duration),
}

/// The same fault at relays in turn, from a first one on.
#[derive(Debug, Clone, Copy)]
pub struct BrittleSeries {
    /// Time from the start of the load.
    pub at: Duration,
    /// Pause between two relays.
    pub gap: Duration,
    /// First relay.
    pub first: usize,
    /// Number of faults; beyond the number of relays, they begin again with the first one.
    pub count: usize,
    /// What happens to each.
    pub fault: BrittleFault,
}

/// Callers that leave before they are answered.
#[derive(Debug, Clone, Copy)]
pub struct LeavingCallers {
    /// One in how many callers leaves.
    pub one_in: usize,
    /// Time after which it does.
    pub patience: Duration,
}

/// A time in which upstreams need longer for each request.
#[derive(Debug, Clone, Copy)]
pub struct SlowPhase {
    /// Time from the start of the load.
    pub at: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// By which factor.
    pub factor: u32,
}

/// Plan of one run.
#[derive(Debug, Clone)]
pub struct BrittlePlan {
    /// Number of relays at the start.
    pub relays: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Requests that each upstream runs at once.
    pub slots: u32,
    /// Requests that may wait while rejections break upstreams down.
    pub queue: u32,
    /// Rejections in a second that each survives.
    pub survived: u32,
    /// Under which identifier they return.
    pub returns_as: ReturnName,
    /// Whether they go on with requests whose connections were closed.
    pub keeps_abandoned: bool,
    /// How they answer.
    pub answer: AnswerPlan,
    /// Requests, as a multiple of what they can do.
    pub load: f64,
    /// Callers that leave, if any.
    pub leaving: Option<LeavingCallers>,
    /// A slow phase, if any.
    pub slow: Option<SlowPhase>,
    /// When upstreams crash for another reason than rejections, the first ones in order.
    pub crashes: Vec<Duration>,
    /// Series of faults of relays, which overlap.
    pub series: Vec<BrittleSeries>,
    /// Times at which a relay is added.
    pub additions: Vec<Duration>,
    /// An outage of the store for all relays, if any: its begin and its duration.
    pub outage: Option<(Duration, Duration)>,
}

impl BrittlePlan {
    /// Generates the plan of `seed`.
    pub fn from_seed(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let relays = number_of(RELAYS_VARIABLE).unwrap_or(RELAYS);
        let upstreams = random.random_range(3..=10);
        let upstreams = number_of(UPSTREAMS_VARIABLE).unwrap_or(upstreams);
        let answer = answer(&mut random);
        Self {
            relays,
            upstreams,
            slots: random.random_range(1..=6),
            queue: random.random_range(0..=3),
            survived: random.random_range(1..=4),
            returns_as: match random.random() {
                true => ReturnName::Same,
                false => ReturnName::New,
            },
            keeps_abandoned: random.random_range(0..3) == 0,
            answer,
            load: random.random_range(0.5..2.0),
            leaving: random.random::<bool>().then(|| LeavingCallers {
                one_in: random.random_range(1..=4),
                patience: millis(&mut random, 50, 600),
            }),
            slow: (random.random_range(0..3) == 0).then(|| SlowPhase {
                at: fault_time(&mut random),
                duration: millis(&mut random, 1_000, 5_000),
                factor: random.random_range(2..=5),
            }),
            crashes: {
                let count = random.random_range(0..=upstreams / 3);
                let at = fault_time(&mut random);
                (0..count)
                    .map(|_| at + millis(&mut random, 0, 500))
                    .collect()
            },
            series: series(&mut random, relays),
            additions: {
                let count = match random.random_range(0..3) {
                    0 => random.random_range(1..=relays / 2),
                    _ => 0,
                };
                let at = fault_time(&mut random);
                (0..count)
                    .map(|_| at + millis(&mut random, 0, 300))
                    .collect()
            },
            outage: random
                .random::<bool>()
                .then(|| (fault_time(&mut random), millis(&mut random, 500, 6_000))),
        }
    }
}

/// Value of an environment variable, if it is set.
fn number_of(variable: &str) -> Option<usize> {
    let text = std::env::var(variable).ok()?;
    Some(text.parse().expect("the variable is a number"))
}

fn answer(random: &mut StdRng) -> AnswerPlan {
    let run_time = millis(random, 50, 300);
    let link_time = match random.random_range(0..4) {
        0 => Duration::from_millis(20),
        _ => Duration::ZERO,
    };
    let (events, gap) = match random.random() {
        true => (0, Duration::ZERO),
        false => (random.random_range(3..=10), millis(random, 20, 150)),
    };
    AnswerPlan {
        run_time,
        events,
        gap,
        link_time,
    }
}

fn series(random: &mut StdRng, relays: usize) -> Vec<BrittleSeries> {
    let count = random.random_range(1..=3);
    (0..count)
        .map(|_| {
            let fault = match random.random_range(0..7) {
                0 => BrittleFault::Kill,
                1 => BrittleFault::Stop,
                2 => BrittleFault::CutStore(millis(random, 500, 5_000)),
                _ => BrittleFault::Freeze(millis(random, 300, 5_000)),
            };
            let gap = *[0, 50, 400].choose(random).unwrap();
            BrittleSeries {
                at: fault_time(random),
                gap: Duration::from_millis(gap),
                first: random.random_range(0..relays),
                count: random.random_range(1..=relays),
                fault,
            }
        })
        .collect()
}

fn fault_time(random: &mut StdRng) -> Duration {
    random.random_range(QUEUES_FEW_AT..FAULTS_END)
}

fn millis(random: &mut StdRng, from: u64, to: u64) -> Duration {
    Duration::from_millis(random.random_range(from..to))
}
