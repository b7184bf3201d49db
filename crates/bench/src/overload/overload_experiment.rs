//! Contents of an experiment file of the kind `overload`.

use std::time::Duration;

use ferry_decisions::admission::PriorityClass;
use ferry_decisions::choice::ChoicePolicy;
use ferry_decisions::{closed_set, value_type};

use crate::experiment::ExperimentKind;

value_type! {
    /// Settings of the experiment.
    pub struct OverloadExperiment {
        /// Always `overload`.
        pub kind: ExperimentKind,
        /// Name of the experiment.
        pub name: String,
        /// Seeds to play.
        pub seeds: Vec<u64>,
        /// The routers.
        pub routers: RouterFleet,
        /// The engines.
        pub engines: EnginePool,
        /// Classes of requests.
        pub classes: Vec<ClassLoad>,
        /// Weights of the workspaces in the traffic; the first one is the large one.
        pub workspaces: Vec<f64>,
        /// Loads, one after the other.
        pub phases: Vec<PhaseLoad>,
        /// Faults of engines.
        #[serde(default)]
        pub faults: Vec<EngineFault>,
        /// Policies that are played side by side.
        pub arms: Vec<PolicyArm>,
    }

    /// The routers.
    pub struct RouterFleet {
        /// Number of routers.
        pub count: usize,
        /// Traffic of the first router, as a multiple of another one's.
        #[serde(default = "even_skew")]
        pub skew: f64,
        /// Interval at which routers read load reports and talk to their peers, in milliseconds.
        pub tick_ms: u64,
    }

    /// The engines.
    pub struct EnginePool {
        /// Number of engines.
        pub count: usize,
        /// Availability zones that routers and engines are spread over.
        pub zones: usize,
        /// Places of a batch.
        pub batch: u32,
        /// Places of a queue.
        pub queue: u32,
        /// Duration of a step with an empty batch, in milliseconds.
        pub step_ms: f64,
        /// Growth of the step with a full batch, as a part of `step_ms`.
        pub step_growth: f64,
        /// Steps before the first token.
        pub prefill_steps: u32,
        /// Age of load reports, in milliseconds.
        pub report_lag_ms: u64,
    }

    /// One class of requests.
    pub struct ClassLoad {
        /// Priority of the class.
        pub priority: PriorityClass,
        /// Part of the requests, relative to the other classes.
        pub part: f64,
        /// Mean tokens of an answer; lengths are exponentially distributed.
        pub mean_tokens: f64,
        /// Most tokens of an answer.
        pub most_tokens: u32,
        /// Time until the caller gives up, in milliseconds.
        pub deadline_ms: u64,
    }

    /// One phase of the load.
    pub struct PhaseLoad {
        /// Duration, in seconds.
        pub seconds: u64,
        /// Offered load as a multiple of the pool's capacity.
        pub load: f64,
        /// Load that the first workspace offers in addition, as a multiple of the capacity.
        #[serde(default)]
        pub burst: f64,
    }

    /// One fault.
    pub struct EngineFault {
        /// Time of the fault, in seconds.
        pub at_s: f64,
        /// Time at which it ends, in seconds; it stays when absent.
        #[serde(default)]
        pub until_s: Option<f64>,
        /// Engine that it hits, from 0.
        pub engine: usize,
        /// What happens.
        pub fault: FaultKind,
        /// Factor on the step duration of a slow engine.
        #[serde(default = "default_factor")]
        pub factor: f64,
    }

    /// One policy.
    pub struct PolicyArm {
        /// Name in the report.
        pub name: String,
        /// Choice of the upstream.
        pub choice: ChoicePolicy,
        /// Whether routers tell each other what they have in flight.
        #[serde(default)]
        pub pooled: bool,
        /// Admission.
        pub admission: AdmissionMode,
        /// Retries.
        pub retry: RetryMode,
    }
}

closed_set! {
    /// What happens to an engine.
    pub enum FaultKind {
        /// Its steps take longer.
        Slow,
        /// It dies: everything on it is lost, connections are refused.
        Dead,
    }

    /// How requests are admitted.
    pub enum AdmissionMode {
        /// All of them.
        None,
        /// Those that can be answered in time.
        Deadline,
        /// The same, and workspaces beyond their fair part give way first.
        Fair,
    }

    /// How failed attempts are retried.
    pub enum RetryMode {
        /// Up to three attempts, whatever the load.
        Fixed,
        /// Up to three attempts within the workspace's budget and the deadline.
        Budget,
    }
}

impl EnginePool {
    /// Duration of a step with `running` requests, in milliseconds.
    pub fn step_with(&self, running: u32) -> f64 {
        let filled = f64::from(running) / f64::from(self.batch);
        self.step_ms * (1.0 + self.step_growth * filled)
    }
}

impl OverloadExperiment {
    /// Requests per second that the healthy pool answers with full batches.
    pub fn capacity(&self) -> f64 {
        let parts: f64 = self.classes.iter().map(|c| c.part).sum();
        let tokens: f64 = self.classes.iter().map(|c| c.part * c.capped_mean()).sum();
        let steps = tokens / parts + f64::from(self.engines.prefill_steps);
        self.steps_per_second() / steps
    }

    /// Engine steps of requests per second that the healthy pool makes with full batches.
    pub fn steps_per_second(&self) -> f64 {
        let places = self.engines.count as f64 * f64::from(self.engines.batch);
        places / self.engines.step_with(self.engines.batch) * 1_000.0
    }

    /// Time at which the last phase ends.
    pub fn duration(&self) -> Duration {
        Duration::from_secs(self.phases.iter().map(|p| p.seconds).sum())
    }
}

impl ClassLoad {
    /// Mean of the exponential distribution cut at `most_tokens`.
    fn capped_mean(&self) -> f64 {
        let cut = f64::from(self.most_tokens) / self.mean_tokens;
        self.mean_tokens * (1.0 - (-cut).exp())
    }
}

fn even_skew() -> f64 {
    1.0
}

fn default_factor() -> f64 {
    5.0
}
