//! Roll-out guard: stops a version whose answers turn bad, and bounds the exposure until then.
//!
//! Every router counts the requests that it sent to a candidate and the ratings of the answers.
//! Counts are merged by a semilattice join, and each router runs the same sequential test over
//! the pool. The first test that trips stops the roll-out on every router that receives the trip.

mod candidate_pool;
mod guard_counts;
mod guard_decision;
mod guard_delta;
mod guard_policy;
mod guard_pool;
mod limit_part;
mod pooled_totals;
mod router_id;
mod sequential_test;

pub use guard_counts::GuardCounts;
pub use guard_decision::{FleetView, GuardDecision};
pub use guard_delta::{CandidateDelta, GuardDelta, GuardRow, TripNotice};
pub use guard_policy::GuardPolicy;
pub use guard_pool::{AnswerOutcome, GuardPool};
pub use limit_part::limit_part;
pub use router_id::RouterId;
pub use sequential_test::SequentialTest;
