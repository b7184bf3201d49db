//! Roll-out guard: stops a version whose answers turn bad, and bounds the exposure until then.
//!
//! Every router counts what it served of a candidate and how it was rated. The counts are
//! pooled by a join, each router runs the same sequential test over the pool, and the first
//! test that trips stops the roll-out on every router that hears of it.

mod candidate_pool;
mod guard_counts;
mod guard_decision;
mod guard_delta;
mod guard_policy;
mod guard_pool;
mod harm_test;
mod pooled_totals;
mod router_id;
mod seat_parts;

pub use guard_counts::GuardCounts;
pub use guard_decision::{FleetView, GuardDecision};
pub use guard_delta::{CandidateDelta, GuardDelta, GuardRow, TripNotice};
pub use guard_policy::GuardPolicy;
pub use guard_pool::{AnswerOutcome, GuardPool};
pub use harm_test::HarmTest;
pub use router_id::RouterId;
pub use seat_parts::seat_part;
