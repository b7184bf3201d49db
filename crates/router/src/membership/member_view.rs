//! One router host as the status view shows it.

use std::time::Duration;

use ferry_decisions::membership::{HostHealth, MemberRow};
use ferry_decisions::names::HostName;
use serde::{Deserialize, Serialize};

/// Listing, health and configuration of a router host as known to this router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Name of the host.
    pub host: HostName,
    /// Whether the platform lists it.
    pub listed: bool,
    /// Health by the age of its last report; `None` if no report was ever received.
    pub health: Option<HostHealth>,
    /// Time since its last report, in milliseconds; `None` if none was ever received.
    pub age_ms: Option<u64>,
    /// Offset of the configuration record that it needs next.
    pub next_offset: Option<u64>,
    /// First 16 hexadecimal digits of the hash of its configuration.
    pub hash: Option<String>,
    /// Whether it can read the log.
    pub log_working: bool,
    /// Whether it is stopping.
    pub leaving: bool,
}

impl MemberView {
    /// View of a host whose last report is `row`.
    pub fn new(row: &MemberRow, silence: Option<Duration>, listed: bool) -> Self {
        Self {
            host: row.host.clone(),
            listed,
            health: silence.map(HostHealth::after),
            age_ms: silence.map(|silence| silence.as_millis() as u64),
            next_offset: Some(row.config.next_offset),
            hash: Some(format!("{:016x}", row.config.digest)),
            log_working: row.log_working,
            leaving: row.leaving,
        }
    }

    /// View of a listed host from which no report was ever received.
    pub fn without_report(host: &HostName) -> Self {
        Self {
            host: host.clone(),
            listed: true,
            health: None,
            age_ms: None,
            next_offset: None,
            hash: None,
            log_working: false,
            leaving: false,
        }
    }
}
