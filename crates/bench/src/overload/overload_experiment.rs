//! Schema of the experiment files of the kind `overload`.

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
        /// Seeds of the runs; each policy is simulated with each seed.
        pub seeds: Vec<u64>,
        /// Simulated routers.
        pub routers: RouterFleet,
        /// Simulated engines.
        pub engines: EnginePool,
        /// Classes of requests.
        pub classes: Vec<ClassLoad>,
        /// Traffic weights of the workspaces; the first one is the large one and sends the bursts.
        pub workspaces: Vec<f64>,
        /// Phases of the load, in order of time.
        pub phases: Vec<PhaseLoad>,
        /// Faults injected into engines.
        #[serde(default)]
        pub faults: Vec<EngineFault>,
        /// Policies to compare.
        #[serde(rename = "arms")]
        pub variants: Vec<PolicyVariant>,
    }

    /// The simulated routers and the split of traffic between them.
    pub struct RouterFleet {
        /// Number of routers.
        pub count: usize,
        /// Traffic of the first router, as a multiple of the traffic of each other router.
        #[serde(default = "even_skew")]
        pub skew: f64,
        /// Interval at which routers read load reports and exchange messages with peers, in
        /// milliseconds.
        pub tick_ms: u64,
    }

    /// The simulated engines, all with the same parameters.
    pub struct EnginePool {
        /// Number of engines.
        pub count: usize,
        /// Number of availability zones; routers and engines are distributed evenly over them.
        pub zones: usize,
        /// Maximum number of requests in a batch.
        pub batch: u32,
        /// Maximum number of requests in the queue of an engine.
        pub queue: u32,
        /// Duration of a step with an empty batch, in milliseconds.
        pub step_ms: f64,
        /// Increase of the step duration with a full batch, as a fraction of `step_ms`.
        pub step_growth: f64,
        /// Steps before the first token.
        pub prefill_steps: u32,
        /// Age at which load reports become visible to routers, in milliseconds.
        pub report_lag_ms: u64,
    }

    /// One class of requests.
    pub struct ClassLoad {
        /// Priority of the class.
        pub priority: PriorityClass,
        /// Relative share of the requests.
        pub part: f64,
        /// Mean number of tokens of an answer; lengths are exponentially distributed.
        pub mean_tokens: f64,
        /// Maximum number of tokens of an answer.
        pub most_tokens: u32,
        /// Time after arrival at which the caller stops waiting, in milliseconds.
        pub deadline_ms: u64,
    }

    /// One phase of the load.
    pub struct PhaseLoad {
        /// Duration, in seconds.
        pub seconds: u64,
        /// Offered load as a multiple of the capacity of the engines.
        pub load: f64,
        /// Additional load from the first workspace, as a multiple of the capacity.
        #[serde(default)]
        pub burst: f64,
    }

    /// A fault of one engine.
    pub struct EngineFault {
        /// Time at which the fault begins, in seconds.
        pub at_s: f64,
        /// Time at which the fault ends, in seconds; it lasts until the end of the run when absent.
        #[serde(default)]
        pub until_s: Option<f64>,
        /// Index of the affected engine, from 0.
        pub engine: usize,
        /// Kind of the fault.
        pub fault: FaultKind,
        /// Factor on the step duration of a slow engine; not used by other faults.
        #[serde(default = "default_factor")]
        pub factor: f64,
    }

    /// One policy to compare: choice, admission and retries.
    pub struct PolicyVariant {
        /// Name in the report.
        pub name: String,
        /// Policy that chooses the upstream.
        pub choice: ChoicePolicy,
        /// Whether routers exchange their counts of requests in flight.
        #[serde(default)]
        pub pooled: bool,
        /// How requests are admitted.
        pub admission: AdmissionMode,
        /// How failed attempts are retried.
        pub retry: RetryMode,
    }
}

closed_set! {
    /// Kind of an engine fault.
    pub enum FaultKind {
        /// Steps take longer, by the factor of the fault.
        Slow,
        /// The engine crashes: it loses all its requests and refuses connections.
        Dead,
    }

    /// How requests are admitted.
    pub enum AdmissionMode {
        /// All requests are admitted.
        None,
        /// Only requests that can be answered before their deadline are admitted.
        Deadline,
        /// As `deadline`; requests of workspaces above their fair share are refused first.
        Fair,
    }

    /// How failed attempts are retried.
    pub enum RetryMode {
        /// Up to three attempts, whatever the load: no retry budget and no deadline check.
        Fixed,
        /// Up to three attempts, within the retry budget of the workspace and the deadline.
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
    /// Requests per second that all engines answer with full batches and no faults.
    pub fn capacity(&self) -> f64 {
        let parts: f64 = self.classes.iter().map(|c| c.part).sum();
        let tokens: f64 = self.classes.iter().map(|c| c.part * c.capped_mean()).sum();
        let steps = tokens / parts + f64::from(self.engines.prefill_steps);
        self.steps_per_second() / steps
    }

    /// Engine steps per second, counted once for each request of a batch, that all engines complete
    /// with full batches and no faults.
    pub fn steps_per_second(&self) -> f64 {
        let slots = self.engines.count as f64 * f64::from(self.engines.batch);
        slots / self.engines.step_with(self.engines.batch) * 1_000.0
    }

    /// Time at which the last phase ends.
    pub fn duration(&self) -> Duration {
        Duration::from_secs(self.phases.iter().map(|p| p.seconds).sum())
    }
}

impl ClassLoad {
    /// Mean number of tokens of an answer, with lengths capped at `most_tokens`.
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
