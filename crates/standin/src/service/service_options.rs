//! Configuration of a service stand-in.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ferry_decisions::names::{HostName, ServiceName, ZoneName};

use crate::server::CrashMode;

/// Configuration of a service stand-in.
#[derive(Debug, Clone)]
pub struct ServiceOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Base URL of the platform to register with; absent for a service that does not register.
    pub platform: Option<String>,
    /// Name in the host list.
    pub name: HostName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Name of the service.
    pub service: ServiceName,
    /// Duration of a call.
    pub duration: Duration,
    /// Calls that run concurrently; further calls are refused without running.
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
