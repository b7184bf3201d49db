//! Contents of a load file.

use std::net::SocketAddr;
use std::path::Path;

use ferry_decisions::admission::PriorityClass;
use ferry_decisions::{closed_set, value_type};
use ferry_kernel::settings::{self, SettingsError};

/// Longest measured step, in seconds.
const LONGEST_STEP: u64 = 600;
/// Most calls of one step.
const MOST_CALLS: f64 = 2_000_000.0;

closed_set! {
    /// Kind of the file.
    pub enum LoadKind {
        /// Load on real routers.
        Load,
    }
}

value_type! {
    /// Settings of a load run.
    pub struct LoadExperiment {
        /// Always `load`.
        pub kind: LoadKind,
        /// Name of the run.
        pub name: String,
        /// Seed of the arrivals.
        pub seed: u64,
        /// Duration of each step, in seconds.
        pub seconds: u64,
        /// Requests per second of each step.
        pub steps: Vec<f64>,
        /// Traffic, drawn by weight.
        pub mix: Vec<LoadStream>,
        /// Routers started in this process; ignored when `targets` are given.
        #[serde(default = "one_router")]
        pub routers: usize,
        /// Caller ports of running routers, in place of routers in this process.
        #[serde(default)]
        pub targets: Vec<SocketAddr>,
        /// Processes of the targets, whose processor time and memory are read.
        #[serde(default)]
        pub pids: Vec<u32>,
        /// Engines started in this process.
        #[serde(default)]
        pub engines: EngineFleet,
        /// Whether each step is also sent straight to the engines.
        #[serde(default)]
        pub baseline: bool,
        /// Calls in progress at once; arrivals beyond it are counted and not sent.
        #[serde(default = "many_calls")]
        pub most_open: usize,
    }

    /// Traffic of one workspace and class.
    pub struct LoadStream {
        /// Workspace; its key is `load-key-` and its name unless `key` is given.
        pub workspace: String,
        /// Key of the workspace, for `targets`.
        #[serde(default)]
        pub key: Option<String>,
        /// Class of the requests.
        pub class: PriorityClass,
        /// Part of the traffic, relative to the other streams.
        pub weight: f64,
        /// Whether answers come as streams.
        pub stream: bool,
        /// Tokens of an answer.
        pub tokens: u32,
        /// Model asked for.
        #[serde(default = "load_model")]
        pub model: String,
    }

    /// Engines of the run.
    pub struct EngineFleet {
        /// Number of engines.
        pub count: usize,
        /// Places of a batch.
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

    /// The key out of range, with the remedy.
    fn problem(&self) -> Option<(&'static str, &'static str)> {
        let calls = |rate: &f64| *rate * self.seconds as f64;
        if !(1..=LONGEST_STEP).contains(&self.seconds) {
            return Some(("seconds", "write 1 to 600"));
        }
        let in_range = |rate: &f64| *rate > 0.0 && calls(rate) <= MOST_CALLS;
        if self.steps.is_empty() || !self.steps.iter().all(in_range) {
            return Some((
                "steps",
                "write rates above 0 with at most 2000000 calls a step",
            ));
        }
        if self.mix.is_empty() || !self.mix.iter().all(|part| part.weight > 0.0) {
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
    /// Key that the calls carry.
    pub(super) fn bearer_key(&self) -> String {
        let default = || format!("load-key-{}", self.workspace);
        self.key.clone().unwrap_or_else(default)
    }
}

fn one_router() -> usize {
    1
}

fn many_calls() -> usize {
    5_000
}

fn load_model() -> String {
    super::load_deployment::MODEL.to_owned()
}
