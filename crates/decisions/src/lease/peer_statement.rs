//! What a router says about its own configuration, dated on the hearer's clock.

use std::time::Duration;

use crate::names::{HostName, Incarnation};
use crate::time::MonotonicTime;

value_type! {
    /// A read of the log's tail, as told by the router that made it.
    pub struct LogSighting {
        /// Time from the start of the read to the making of the statement.
        #[serde(rename = "a", with = "crate::time::duration_micros")]
        pub age: Duration,
        /// Offset that the log gave next when it was read.
        #[serde(rename = "t")]
        pub tail: u64,
    }
}

/// What a host says about its configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerStatement {
    /// Host that makes the statement.
    pub host: HostName,
    /// Life of the process that makes it.
    pub incarnation: Incarnation,
    /// Moment on the hearer's clock at or before which the statement was surely not yet made: when
    /// it was asked for, less the age that a relaying peer gave.
    pub asked: MonotonicTime,
    /// Offset of the configuration record that the host needs next.
    pub next_offset: u64,
    /// The host's newest read of the log's tail.
    pub log: Option<LogSighting>,
    /// Whether the host holds all that its earlier lives confirmed.
    pub recovered: bool,
}

impl PeerStatement {
    /// Moment on the hearer's clock at or before the start of the host's newest read of the log.
    pub fn log_began(&self) -> Option<MonotonicTime> {
        self.log.as_ref().map(|log| self.asked.before(log.age))
    }
}
