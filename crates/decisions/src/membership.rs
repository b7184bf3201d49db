//! Membership: the known router hosts, the newest statement of each, and the neighbours to query.
//!
//! A router queries each neighbour in turn for its table. A row is sent with its age, so that the
//! receiver can date it from the moment of its query, however long the transit took.

mod host_health;
mod member_row;
mod membership_delta;
mod membership_table;
mod peer_graph;

pub use host_health::HostHealth;
pub use member_row::{ConfigPosition, MemberRow};
pub use membership_delta::{AgedRow, MembershipDelta, MembershipQuery};
pub use membership_table::{AppliedDelta, ListedRouter, MemberChange, MembershipTable, OwnReport};
pub use peer_graph::{MESH_LIMIT, neighbours};
