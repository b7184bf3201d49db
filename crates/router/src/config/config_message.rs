//! Messages by which a router that is behind gets configuration from another one.

use ferry_decisions::config::SnapshotRecord;
use ferry_decisions::value_type;
use ferry_platform::log::LogRecord;

value_type! {
    /// Asks for the records that the sender lacks.
    pub struct ConfigQuery {
        /// Offset of the record that the sender needs next.
        pub from: u64,
    }

    /// What the receiver has of them.
    pub struct ConfigAnswer {
        /// Records without gaps from the offset asked for; empty if the first is no longer held.
        pub records: Vec<LogRecord>,
        /// The folded state, if `records` cannot start at the offset asked for.
        pub snapshot: Option<SnapshotRecord>,
    }
}
