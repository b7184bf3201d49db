//! Roll-out of a new version of a service: bounded exposure, pooled evidence, completion or revert.
//!
//! Every router counts the answers of the new version and shares its counts. A phase change is a
//! record that is stored conditionally, so any router may advance a roll-out and all routers see
//! the same sequence. A router that joins late rebuilds its state from the records and counts.

mod evidence_cell;
mod evidence_pool;
mod evidence_row;
mod listed_version;
mod order_history;
mod rollout_order;
mod rollout_phase;
mod rollout_plan;
mod time_spread;

pub use evidence_pool::EvidencePool;
pub use evidence_row::{
    AnswerAspect, AnswerQuality, ClassCounts, EvidenceRow, VersionSide, conversation_mark,
};
pub use listed_version::{ListedVersion, confirmed_versions};
pub use order_history::{OrderHistory, OrderStep};
pub use rollout_order::RolloutOrder;
pub use rollout_phase::RolloutPhase;
pub use rollout_plan::{ExposureBound, PlanInput, RolloutPlan};
pub use time_spread::TimeSpread;
