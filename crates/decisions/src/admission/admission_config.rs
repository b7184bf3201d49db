//! Constants of admission.

use std::time::Duration;

use serde::{Deserialize, Serialize};

closed_set! {
    /// Priority of a class, highest last.
    #[derive(Default)]
    pub enum PriorityClass {
        /// Work that nobody waits for.
        Batch,
        /// Work that a person or a process waits for.
        #[default]
        Normal,
        /// Work that must not wait behind the others.
        Urgent,
    }
}

impl PriorityClass {
    /// Number of priorities.
    pub const COUNT: usize = 3;

    /// All priorities, lowest first.
    pub const ALL: [Self; Self::COUNT] = [Self::Batch, Self::Normal, Self::Urgent];

    /// Name, as requests and metrics show it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Batch => "batch",
            Self::Normal => "normal",
            Self::Urgent => "urgent",
        }
    }

    /// The priority with the name `text`.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|class| class.name() == text)
    }

    /// Position among the priorities, lowest first; below [`Self::COUNT`].
    pub fn index(self) -> usize {
        match self {
            Self::Batch => 0,
            Self::Normal => 1,
            Self::Urgent => 2,
        }
    }
}

/// Constants of deadline admission.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionConfig {
    /// Quantile of the service time that must fit, from 0 to 1.
    pub service_quantile: f64,
    /// Part of the slack (time left less the service time) that normal work may wait, from 0 to 1.
    pub normal_wait: f64,
    /// The same for batch work.
    pub batch_wait: f64,
    /// Factor on the permitted wait of work beyond its workspace's fair part, from 0 to 1.
    pub beyond_fair_wait: f64,
    /// Part of the capacity that is shared out among workspaces, from 0 to 1.
    pub target_utilisation: f64,
    /// Longest wait of a request without deadline, in milliseconds.
    pub undated_wait_ms: u64,
    /// Age at which the newest sample says nothing any more, in milliseconds.
    pub sample_life_ms: u64,
    /// Part of the requests that go ahead while no recent sample exists but old ones forbid it.
    pub probe_fraction: f64,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            service_quantile: 0.9,
            normal_wait: 0.9,
            batch_wait: 0.8,
            beyond_fair_wait: 0.3,
            target_utilisation: 0.85,
            undated_wait_ms: 10_000,
            sample_life_ms: 5_000,
            probe_fraction: 0.1,
        }
    }
}

impl AdmissionConfig {
    /// Part of the slack that work of `class` may wait.
    pub fn wait_part(&self, class: PriorityClass) -> f64 {
        match class {
            PriorityClass::Batch => self.batch_wait,
            PriorityClass::Normal => self.normal_wait,
            PriorityClass::Urgent => 1.0,
        }
    }

    /// Longest wait of a request without deadline.
    pub fn undated_wait(&self) -> Duration {
        Duration::from_millis(self.undated_wait_ms)
    }

    /// Age at which the newest sample says nothing any more.
    pub fn sample_life(&self) -> Duration {
        Duration::from_millis(self.sample_life_ms)
    }
}
