//! Membership of the fleet: the known router hosts, the heartbeats exchanged with them, and the
//! propagation of configuration records among them.

mod heartbeat;
mod known_router;
mod member_table;
mod member_view;
mod process_clock;
mod propagation_table;

pub use known_router::KnownRouter;
pub use member_table::MemberTable;
pub use member_view::MemberView;
pub use process_clock::ProcessClock;
use propagation_table::PropagationTable;
