//! Which router hosts take part, what each last said about itself, and whom to ask.
//!
//! A router asks each neighbour in turn for its table. A row travels with its age, so that the
//! hearer can date it from the moment of its question, however long the transit took.

mod host_health;
mod member_row;
mod membership_delta;
mod membership_table;
mod peer_graph;

pub use host_health::HostHealth;
pub use member_row::{ConfigMark, MemberRow};
pub use membership_delta::{AgedRow, MembershipDelta, MembershipQuery};
pub use membership_table::{AppliedDelta, ListedRouter, MemberChange, MembershipTable, OwnReport};
pub use peer_graph::{MESH_LIMIT, neighbours};
