//! Priority classes and admission settings.

use std::time::Duration;

use serde::{Deserialize, Serialize};

closed_set! {
    /// Priority of a request, lowest first.
    #[derive(Default)]
    pub enum PriorityClass {
        /// Background work whose result nobody is waiting for.
        Batch,
        /// Work whose result a person or a process is waiting for.
        #[default]
        Normal,
        /// Work that must not wait behind the other classes.
        Urgent,
    }
}

impl PriorityClass {
    /// Number of priorities.
    pub const COUNT: usize = 3;

    /// All priorities, lowest first.
    pub const ALL: [Self; Self::COUNT] = [Self::Batch, Self::Normal, Self::Urgent];

    /// Name of the priority in requests and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Batch => "batch",
            Self::Normal => "normal",
            Self::Urgent => "urgent",
        }
    }

    /// The priority with the name `text`; `None` for an unknown name.
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

/// Settings of deadline admission.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionConfig {
    /// Quantile of the service time that must fit into the time left, from 0 to 1.
    pub service_quantile: f64,
    /// Fraction of the slack (time left minus service time) that normal work may wait, from 0 to 1.
    pub normal_wait: f64,
    /// Fraction of the slack that batch work may wait, from 0 to 1.
    pub batch_wait: f64,
    /// Factor on the permitted wait of work beyond its workspace's fair share, from 0 to 1.
    pub beyond_fair_wait: f64,
    /// Fraction of the capacity that is divided among workspaces, from 0 to 1.
    pub target_utilisation: f64,
    /// Longest wait of a request without a deadline, in milliseconds.
    pub undated_wait_ms: u64,
    /// Age of the newest sample from which the estimate counts as outdated, in milliseconds.
    pub sample_life_ms: u64,
    /// Fraction of the requests that are admitted as probes while only outdated samples exist and
    /// these would refuse them, from 0 to 1.
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
    /// Fraction of the slack that work of `class` may wait, from 0 to 1.
    pub fn wait_fraction(&self, class: PriorityClass) -> f64 {
        match class {
            PriorityClass::Batch => self.batch_wait,
            PriorityClass::Normal => self.normal_wait,
            PriorityClass::Urgent => 1.0,
        }
    }

    /// Longest wait of a request without a deadline.
    pub fn undated_wait(&self) -> Duration {
        Duration::from_millis(self.undated_wait_ms)
    }

    /// Age of the newest sample from which the estimate counts as outdated.
    pub fn sample_life(&self) -> Duration {
        Duration::from_millis(self.sample_life_ms)
    }
}
