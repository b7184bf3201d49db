//! Messages with which a router that is behind fetches configuration from another router.

use ferry_decisions::config::SnapshotRecord;
use ferry_decisions::value_type;
use ferry_platform::log::LogRecord;

value_type! {
    /// Requests the records that the sender has not folded yet.
    pub struct ConfigQuery {
        /// Offset of the record that the sender needs next.
        pub from: u64,
    }

    /// Reply to a [`ConfigQuery`].
    pub struct ConfigReply {
        /// Records without gaps from the requested offset on; empty if the first is no longer held.
        pub records: Vec<LogRecord>,
        /// The folded state, if `records` cannot start at the requested offset.
        pub snapshot: Option<SnapshotRecord>,
    }
}
