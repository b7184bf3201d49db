//! Bringing in a version of a service: bounded exposure, pooled evidence, completion or return.
//!
//! Every router counts what the new version answers and shares its counts. Phases follow one
//! another through records under a condition, so that any router may move a roll-out on and all
//! see the same order; a router that joins late rebuilds its state from the records and counts.

mod evidence_pool;
mod evidence_row;
mod rollout_order;
mod rollout_phase;
mod rollout_plan;

pub use evidence_pool::EvidencePool;
pub use evidence_row::{AnswerQuality, ClassCounts, EvidenceRow, VersionSide};
pub use rollout_order::RolloutOrder;
pub use rollout_phase::RolloutPhase;
pub use rollout_plan::{PlanQuery, RolloutPlan};
