//! Roll-out guard: admits requests to versions in a roll-out, rates their answers, and shares the
//! evidence with the other routers.

mod answer_rating;
mod fleet_identity;
mod guard_exchange;
mod guard_manager;
mod guard_plugin;
mod served_request;
mod stage_guard;
mod trip_writer;

pub use answer_rating::{rate, record_rating};
pub use guard_manager::GuardManager;
pub use served_request::ServedRequest;
pub use stage_guard::{GuardedPick, pick};
