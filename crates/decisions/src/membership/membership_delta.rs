//! Messages by which routers exchange their tables.

use std::time::Duration;

use super::MemberRow;
use crate::names::HostName;

value_type! {
    /// A heartbeat: the sender's own row, and the question for the receiver's table.
    pub struct MembershipQuery {
        /// The sender about itself.
        pub row: MemberRow,
        /// Host up to which the receiver's last answer went; the next one goes on after it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub after: Option<HostName>,
    }

    /// The answer to a heartbeat; bounded, with what changed lately first.
    pub struct MembershipDelta {
        /// Rows; the answering router's own is the first.
        pub rows: Vec<AgedRow>,
        /// Host to go on after, when not all rows fitted.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub after: Option<HostName>,
    }

    /// A row with its age.
    pub struct AgedRow {
        /// The row.
        #[serde(rename = "r")]
        pub row: MemberRow,
        /// Longest time that can have passed since the row was made, when this was sent.
        #[serde(rename = "a", with = "crate::time::duration_micros")]
        pub age: Duration,
    }
}
