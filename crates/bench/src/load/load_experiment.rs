//! Schema and validation of load files.

use std::net::SocketAddr;
use std::path::Path;

use ferry_decisions::admission::PriorityClass;
use ferry_decisions::{closed_set, value_type};
use ferry_kernel::settings::{self, SettingsError};

/// Maximum duration of a step, in seconds.
const MAX_STEP_SECONDS: u64 = 600;
/// Maximum number of calls in one step.
const MAX_CALLS: f64 = 2_000_000.0;

closed_set! {
    /// Kind of the file.
    pub enum LoadKind {
        /// Load on real routers over loopback.
        Load,
    }
}

value_type! {
    /// Settings of a load run; unknown keys are rejected.
    pub struct LoadExperiment {
        /// Always `load`.
        pub kind: LoadKind,
        /// Name of the run.
        pub name: String,
        /// Seed of the arrivals.
        pub seed: u64,
        /// Duration of each step, in seconds.
        pub seconds: u64,
        /// Request rates of the steps, in requests per second.
        pub steps: Vec<f64>,
        /// Traffic streams; each call is drawn from them by weight.
        pub mix: Vec<LoadStream>,
        /// Routers started in this process; ignored when `targets` are given.
        #[serde(default = "default_router_count")]
        pub routers: usize,
        /// Caller addresses of running routers, used instead of routers in this process.
        #[serde(default)]
        pub targets: Vec<SocketAddr>,
        /// Process ids of the targets, whose processor time and memory are measured.
        #[serde(default)]
        pub pids: Vec<u32>,
        /// Engines started in this process; ignored when `targets` are given.
        #[serde(default)]
        pub engines: EngineFleet,
        /// Whether each step is first sent directly to the engines, as a baseline; ignored when
        /// `targets` are given.
        #[serde(default)]
        pub baseline: bool,
        /// Maximum number of concurrent calls; arrivals beyond it are counted and not sent.
        #[serde(default = "default_most_open")]
        pub most_open: usize,
    }

    /// Traffic of one workspace and class.
    pub struct LoadStream {
        /// Name of the workspace; its API key is `load-key-` followed by the name unless `key` is
        /// given.
        pub workspace: String,
        /// API key of the workspace, for `targets`.
        #[serde(default)]
        pub key: Option<String>,
        /// Class of the requests.
        pub class: PriorityClass,
        /// Relative share of the traffic.
        pub weight: f64,
        /// Whether answers are streamed.
        pub stream: bool,
        /// Number of tokens that the calls request for an answer (`max_tokens`).
        pub tokens: u32,
        /// Model that the calls request.
        #[serde(default = "default_model")]
        pub model: String,
    }

    /// Engine stand-ins of the run.
    pub struct EngineFleet {
        /// Number of engines.
        pub count: usize,
        /// Maximum number of requests in a batch.
        pub batch: usize,
        /// Duration of a step, in milliseconds.
        pub step_ms: u64,
    }
}

impl Default for EngineFleet {
    fn default() -> Self {
        Self {
            count: 4,
            batch: 64,
            step_ms: 2,
        }
    }
}

impl LoadExperiment {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails with a diagnostic that points at the line and names the remedy.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text =
            std::fs::read_to_string(path).map_err(|e| SettingsError::unreadable(path, &e))?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Parses and checks `text`, which came from the file `name`.
    ///
    /// # Errors
    ///
    /// As [`LoadExperiment::read`].
    pub fn parse(name: &str, text: &str) -> Result<Self, SettingsError> {
        let experiment: Self = settings::parse(name, text)?;
        match experiment.problem() {
            None => Ok(experiment),
            Some((key, remedy)) => {
                let problem = format!("{key} is out of range");
                Err(SettingsError::rejected(name, text, key, &problem, remedy))
            }
        }
    }

    /// The first key that is out of range, with the remedy; `None` when all are valid.
    fn problem(&self) -> Option<(&'static str, &'static str)> {
        let calls = |rate: &f64| *rate * self.seconds as f64;
        if !(1..=MAX_STEP_SECONDS).contains(&self.seconds) {
            return Some(("seconds", "write 1 to 600"));
        }
        let in_range = |rate: &f64| *rate > 0.0 && calls(rate) <= MAX_CALLS;
        if self.steps.is_empty() || !self.steps.iter().all(in_range) {
            return Some((
                "steps",
                "write rates above 0 with at most 2000000 calls a step",
            ));
        }
        if self.mix.is_empty() || !self.mix.iter().all(|stream| stream.weight > 0.0) {
            return Some(("mix", "write at least one stream; all weights above 0"));
        }
        if self.routers == 0 && self.targets.is_empty() {
            return Some(("routers", "write 1 or more, or give targets"));
        }
        if self.engines.count == 0 || self.engines.batch == 0 || self.engines.step_ms == 0 {
            return Some(("engines", "write count, batch and step_ms above 0"));
        }
        (self.most_open == 0).then_some(("most_open", "write 1 or more"))
    }
}

impl LoadStream {
    /// API key that the calls send as bearer token.
    pub(super) fn bearer_key(&self) -> String {
        let default = || format!("load-key-{}", self.workspace);
        self.key.clone().unwrap_or_else(default)
    }
}

fn default_router_count() -> usize {
    1
}

fn default_most_open() -> usize {
    5_000
}

fn default_model() -> String {
    super::load_deployment::MODEL.to_owned()
}
