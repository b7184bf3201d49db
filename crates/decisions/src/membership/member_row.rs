//! Statement of a router about itself, as sent in heartbeats.

use std::net::SocketAddr;

use crate::lease::LogObservation;
use crate::names::{HostName, Incarnation, ZoneName};

/// Hexadecimal digits of a configuration's hash that a heartbeat contains.
const HASH_DIGITS: usize = 16;

value_type! {
    /// Statement of one router about itself; short field names keep heartbeats small.
    pub struct MemberRow {
        /// Name of the host.
        #[serde(rename = "h")]
        pub host: HostName,
        /// Availability zone of the host.
        #[serde(rename = "z")]
        pub zone: ZoneName,
        /// Incarnation of the process.
        #[serde(rename = "i")]
        pub incarnation: Incarnation,
        /// Orders the incarnations of one host: a later incarnation has a greater number.
        #[serde(rename = "g")]
        pub generation: u64,
        /// Address of the peer port.
        #[serde(rename = "p")]
        pub address: SocketAddr,
        /// Number of the statement within the incarnation; later ones are greater.
        #[serde(rename = "s")]
        pub sequence: u64,
        /// Configuration that the process holds.
        #[serde(rename = "c")]
        pub config: ConfigPosition,
        /// Newest read of the log's tail; absent if the router reports none.
        #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
        pub log: Option<LogObservation>,
        /// Whether the last read of the log succeeded.
        #[serde(rename = "w", default)]
        pub log_working: bool,
        /// Whether the process is stopping.
        #[serde(rename = "q", default)]
        pub leaving: bool,
        /// Whether the process holds all records that the host's earlier incarnations confirmed.
        #[serde(rename = "r", default)]
        pub recovered: bool,
    }

    /// Position in the configuration stream with a digest of the state there.
    #[derive(Eq, Copy, Default)]
    pub struct ConfigPosition {
        /// Offset of the record that is needed next.
        #[serde(rename = "n")]
        pub next_offset: u64,
        /// First 8 bytes of the state's hash.
        #[serde(rename = "d")]
        pub digest: u64,
    }
}

impl MemberRow {
    /// Key that orders the incarnations of one host; a later incarnation has a greater key.
    pub fn incarnation_order(&self) -> (u64, Incarnation) {
        (self.generation, self.incarnation)
    }

    /// Whether the rows differ in the process, its address, its configuration or a flag of its state,
    /// not only in the number of the statement or the read of the log.
    pub fn differs(&self, other: &Self) -> bool {
        self.incarnation_order() != other.incarnation_order()
            || self.address != other.address
            || self.config != other.config
            || self.leaving != other.leaving
            || self.recovered != other.recovered
    }
}

impl ConfigPosition {
    /// Creates the position of a state that has the hexadecimal `hash`.
    pub fn new(next_offset: u64, hash: &str) -> Self {
        let digits = hash.get(..HASH_DIGITS).unwrap_or(hash);
        Self {
            next_offset,
            digest: u64::from_str_radix(digits, 16).unwrap_or_default(),
        }
    }

    /// Whether the states differ although they end at the same offset.
    pub fn contradicts(&self, other: &Self) -> bool {
        self.next_offset == other.next_offset && self.digest != other.digest
    }
}
