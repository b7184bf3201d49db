//! Messages by which routers exchange their membership tables.

use std::time::Duration;

use super::MemberRow;
use crate::names::HostName;

value_type! {
    /// A heartbeat: the sender's own row, and the query for the receiver's table.
    pub struct MembershipQuery {
        /// The sender's own row.
        pub row: MemberRow,
        /// Last host in the receiver's previous answer, after which the next answer continues; absent
        /// to start with the first host.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub after: Option<HostName>,
    }

    /// The answer to a heartbeat; bounded, with recently changed rows first.
    pub struct MembershipDelta {
        /// Rows; the first is the answering router's own.
        pub rows: Vec<AgedRow>,
        /// Host after which the next answer should continue; absent if all rows without a recent change
        /// fitted.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub after: Option<HostName>,
    }

    /// A row with its age when it was sent.
    pub struct AgedRow {
        /// The row.
        #[serde(rename = "r")]
        pub row: MemberRow,
        /// Upper bound on the time from the making of the row to the sending of this answer.
        #[serde(rename = "a", with = "crate::time::duration_micros")]
        pub age: Duration,
    }
}
