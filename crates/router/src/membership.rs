//! Router hosts of the fleet, as this router knows them.

mod heartbeat;
mod known_router;
mod member_table;
mod member_view;
mod process_clock;
mod spread_table;

pub use known_router::KnownRouter;
pub use member_table::MemberTable;
pub use member_view::MemberView;
pub use process_clock::ProcessClock;
use spread_table::SpreadTable;
