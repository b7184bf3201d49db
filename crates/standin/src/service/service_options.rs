//! How a service stand-in is set up.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ferry_decisions::names::{HostName, ServiceName, ZoneName};

use crate::server::CrashMode;

/// Set-up of a service stand-in.
#[derive(Debug, Clone)]
pub struct ServiceOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Base address of the platform to register with.
    pub platform: Option<String>,
    /// Name in the host list.
    pub name: HostName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Service that it runs.
    pub service: ServiceName,
    /// Time that a call takes.
    pub duration: Duration,
    /// Calls that run at once; others are refused unrun.
    pub call_limit: usize,
    /// Age of the load reports.
    pub load_lag: Duration,
    /// What a crash does to the process.
    pub crash_mode: CrashMode,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            platform: None,
            name: "service".into(),
            zone: "zone".into(),
            service: "service".into(),
            duration: Duration::from_millis(5),
            call_limit: 1_024,
            load_lag: Duration::from_millis(500),
            crash_mode: CrashMode::Simulate,
        }
    }
}
