//! Contents of an experiment file of the kind `limits`.

use std::time::Duration;

use ferry_decisions::limits::LimitConfig;
use ferry_decisions::{closed_set, value_type};

use crate::experiment::ExperimentKind;

value_type! {
    /// Settings of the experiment.
    pub struct LimitsExperiment {
        /// Always `limits`.
        pub kind: ExperimentKind,
        /// Name of the experiment.
        pub name: String,
        /// Seeds to play.
        pub seeds: Vec<u64>,
        /// Routers in service at the start.
        pub routers: usize,
        /// Traffic of the first router, as a multiple of another one's.
        pub skew: f64,
        /// Interval at which routers send their counts, in milliseconds.
        pub exchange_ms: u64,
        /// Delay of a count on its way, in milliseconds.
        pub delay_ms: u64,
        /// Time after which a change of the fleet shows in the host list, in milliseconds.
        pub list_lag_ms: u64,
        /// The limit.
        pub limit: LimitConfig,
        /// Loads, one after the other.
        pub phases: Vec<LimitPhase>,
        /// Changes of the fleet.
        #[serde(default)]
        pub changes: Vec<FleetChange>,
        /// Ways to keep the limit that are played side by side.
        pub arms: Vec<LimitArm>,
    }

    /// One phase of the load.
    #[derive(Copy)]
    pub struct LimitPhase {
        /// Duration, in seconds.
        pub seconds: u64,
        /// Offered load as a multiple of the limit; up to 1, requests keep strictly to the limit.
        pub load: f64,
    }

    /// One change of the fleet.
    #[derive(Copy)]
    pub struct FleetChange {
        /// Time of the change, in seconds.
        pub at_s: f64,
        /// What happens.
        pub event: FleetEvent,
    }
}

closed_set! {
    /// What happens to the fleet.
    pub enum FleetEvent {
        /// One more router takes traffic.
        Join,
        /// The first router dies; the others take its traffic.
        DieFirst,
    }

    /// How the limit is kept.
    pub enum LimitArm {
        /// One token bucket sees all requests at once: the ideal, which no fleet can have.
        CentralBucket,
        /// Each router keeps an equal part of the limit on its own.
        EqualParts,
        /// The admitted fraction follows from the pooled demand after refusals.
        PooledAdmitted,
        /// The admitted fraction follows from the pooled demand before refusals.
        PooledOffered,
    }
}

impl LimitArm {
    /// Name in the report.
    pub fn name(self) -> &'static str {
        match self {
            Self::CentralBucket => "central bucket",
            Self::EqualParts => "equal parts",
            Self::PooledAdmitted => "pooled admitted",
            Self::PooledOffered => "pooled offered",
        }
    }
}

impl LimitsExperiment {
    /// Seconds of all phases.
    pub fn seconds(&self) -> u64 {
        self.phases.iter().map(|p| p.seconds).sum()
    }

    /// Phase at `time`.
    pub fn phase_at(&self, time: Duration) -> usize {
        let mut end = 0;
        let found = self.phases.iter().position(|phase| {
            end += phase.seconds;
            time < Duration::from_secs(end)
        });
        found.unwrap_or(self.phases.len() - 1)
    }
}
