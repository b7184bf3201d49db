//! Statement of a router about its own configuration, dated on the receiver's clock.

use std::time::Duration;

use crate::names::{HostName, Incarnation};
use crate::time::MonotonicTime;

value_type! {
    /// A read of the log's tail, as reported by the router that made it.
    pub struct LogObservation {
        /// Time from the start of the read to the statement.
        #[serde(rename = "a", with = "crate::time::duration_micros")]
        pub age: Duration,
        /// Offset of the next record that the log would hold when it was read.
        #[serde(rename = "t")]
        pub tail: u64,
    }
}

/// Statement of a host about its configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerStatement {
    /// Host that makes the statement.
    pub host: HostName,
    /// Incarnation of the process that makes the statement.
    pub incarnation: Incarnation,
    /// Moment on the receiver's clock that is certainly not later than the statement: the time of
    /// the request, less the age that a forwarding peer reported.
    pub requested_at: MonotonicTime,
    /// Offset of the configuration record that the host needs next; it holds all before it.
    pub next_offset: u64,
    /// The host's newest read of the log's tail; `None` if it reports none.
    pub log: Option<LogObservation>,
    /// Whether the host holds all records that its earlier incarnations confirmed.
    pub recovered: bool,
}

impl PeerStatement {
    /// Moment on the receiver's clock that is not later than the start of the host's newest read of
    /// the log.
    pub fn log_began(&self) -> Option<MonotonicTime> {
        self.log
            .as_ref()
            .map(|log| self.requested_at.before(log.age))
    }
}
