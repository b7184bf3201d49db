//! Evacuated availability zones, to whose upstreams nothing is sent.

mod evacuation_manager;
mod recent_ends;

pub use evacuation_manager::{EvacuationManager, expire};
pub use recent_ends::{RecentEnds, learn_recent, state_recent, uninformed_time};
