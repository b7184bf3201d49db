//! Router hosts of the fleet, as this router knows them.

mod member_table;

pub use member_table::MemberTable;
