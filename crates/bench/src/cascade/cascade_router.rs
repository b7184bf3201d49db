//! Simulated router: its evidence about the stages, and its choice of a stage.

use ferry_decisions::cascade::{
    CascadeQuery, PassDelta, PassPool, RatingMonitor, StageChoice, StageEntry, StageEstimate,
    StageKey,
};
use ferry_decisions::guard::RouterId;
use ferry_decisions::names::{ClassName, HostName, Incarnation, VersionName};
use ferry_decisions::time::UnixMillis;
use uuid::Uuid;

use super::CascadeExperiment;

/// Factor from the mean latency to the latency that the router expects; simulated latencies are
/// below 1.5 times the mean.
const HIGH_LATENCY_FACTOR: f64 = 1.5;
/// Maximum time that an answer waits for its rating, in milliseconds.
const MAX_RATING_WAIT_MS: u64 = 2_000;
/// Name of the only cascade in the experiment.
const CASCADE: &str = "cascade";

/// State of one simulated router.
pub(super) struct CascadeRouter {
    pub(super) pool: PassPool,
    pub(super) monitor: RatingMonitor,
    /// Revision up to which the peers have been sent the pass counts.
    sent_revision: u64,
}

impl CascadeRouter {
    pub(super) fn new(index: usize) -> Self {
        let own = RouterId {
            host: HostName::new(&format!("router-{index}")),
            incarnation: Incarnation(Uuid::from_u128(index as u128 + 1)),
        };
        Self {
            pool: PassPool::new(own),
            monitor: RatingMonitor::default(),
            sent_revision: 0,
        }
    }

    pub(super) fn estimates(
        &self,
        experiment: &CascadeExperiment,
        class: usize,
        now: u64,
    ) -> Vec<StageEstimate> {
        let class = ClassName::new(&experiment.classes[class].name);
        let stages = experiment.stages.iter().enumerate();
        stages
            .map(|(index, stage)| {
                let (first_pass, escalated_pass) =
                    self.pool
                        .rates(&CASCADE.into(), &class, &version(index), UnixMillis(now));
                StageEstimate {
                    cost: stage.cost,
                    first_pass,
                    escalated_pass,
                    latency_ms: (stage.latency_ms as f64 * HIGH_LATENCY_FACTOR) as u64,
                }
            })
            .collect()
    }

    pub(super) fn choose(
        &self,
        stages: &[StageEstimate],
        idempotent: bool,
        deadline_ms: u64,
    ) -> StageChoice {
        let query = CascadeQuery {
            stages,
            idempotent,
            time_left_ms: Some(deadline_ms),
            health: self.monitor.health(MAX_RATING_WAIT_MS),
            rating_ms: self.monitor.delay_ms(),
        };
        StageChoice::compute(&query).expect("an experiment has stages")
    }

    pub(super) fn record(
        &mut self,
        experiment: &CascadeExperiment,
        class: usize,
        stage: usize,
        entry: StageEntry,
        passed: bool,
        now: u64,
    ) {
        let key = StageKey {
            cascade: CASCADE.into(),
            class: ClassName::new(&experiment.classes[class].name),
            version: version(stage),
            entry,
        };
        self.pool.record(&key, passed, UnixMillis(now));
    }

    /// Returns the rows that have not been sent to peers yet, and marks them as sent.
    pub(super) fn take_delta(&mut self) -> PassDelta {
        let delta = self.pool.delta_since(self.sent_revision);
        self.sent_revision = self.pool.revision();
        delta
    }
}

fn version(stage: usize) -> VersionName {
    VersionName::new(&format!("stage-{stage}"))
}
