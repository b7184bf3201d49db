//! Schema of the experiment files of the kind `limits`.

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
        /// Seeds of the runs; each variant is simulated with each seed.
        pub seeds: Vec<u64>,
        /// Routers in service at the start.
        pub routers: usize,
        /// Traffic of the first router, as a multiple of the traffic of each other router.
        pub skew: f64,
        /// Interval at which routers send their counts, in milliseconds.
        pub exchange_ms: u64,
        /// Delivery delay of a count, in milliseconds.
        pub delay_ms: u64,
        /// Time until the host list shows a router that joined or crashed, in milliseconds.
        pub list_lag_ms: u64,
        /// Limit of the workspace.
        pub limit: LimitConfig,
        /// Phases of the load, in order of time.
        pub phases: Vec<LimitPhase>,
        /// Routers that join or crash during the run, in order of time.
        #[serde(default)]
        pub changes: Vec<FleetChange>,
        /// Enforcement variants to compare.
        #[serde(rename = "arms")]
        pub variants: Vec<LimitVariant>,
    }

    /// One phase of the load.
    #[derive(Copy)]
    pub struct LimitPhase {
        /// Duration, in seconds.
        pub seconds: u64,
        /// Offered load as a multiple of the limit; up to 1, no request exceeds the limit.
        pub load: f64,
    }

    /// A router that joins or crashes.
    #[derive(Copy)]
    pub struct FleetChange {
        /// Time of the change, in seconds.
        pub at_s: f64,
        /// Kind of the change.
        pub event: FleetEvent,
    }
}

closed_set! {
    /// Kind of a change in the set of routers.
    pub enum FleetEvent {
        /// Another router starts and receives traffic.
        Join,
        /// The first router crashes; the others receive its traffic.
        #[serde(rename = "die_first")]
        CrashFirst,
    }

    /// Algorithm that enforces the limit.
    pub enum LimitVariant {
        /// One token bucket counts all requests immediately: the ideal reference, which separate
        /// routers cannot achieve.
        CentralBucket,
        /// Each router enforces an equal share of the limit on its own.
        EqualParts,
        /// The admitted fraction is derived from the pooled count of admitted requests.
        PooledAdmitted,
        /// The admitted fraction is derived from the pooled count of offered requests.
        PooledOffered,
    }
}

impl LimitVariant {
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
    /// Duration of all phases, in seconds.
    pub fn seconds(&self) -> u64 {
        self.phases.iter().map(|p| p.seconds).sum()
    }

    /// Index of the phase at `time`; the last phase after the end of the run.
    pub fn phase_at(&self, time: Duration) -> usize {
        let mut end = 0;
        let found = self.phases.iter().position(|phase| {
            end += phase.seconds;
            time < Duration::from_secs(end)
        });
        found.unwrap_or(self.phases.len() - 1)
    }
}
