//! Configuration of an engine stand-in.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ferry_decisions::names::{HostName, VersionName, ZoneName};

use crate::server::CrashMode;

/// Configuration of an engine stand-in.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Base URL of the platform to register with; absent for an engine that does not register.
    pub platform: Option<String>,
    /// Name in the host list.
    pub name: HostName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Versions that the engine serves.
    pub versions: Vec<VersionName>,
    /// Duration of a step, in which each running request generates one token.
    pub step: Duration,
    /// Requests that run concurrently.
    pub batch_limit: usize,
    /// Requests that may wait for a slot in the batch.
    pub queue_limit: usize,
    /// Prompt tokens processed per request in one step, before its first token is generated.
    pub prefill_tokens: u64,
    /// Capacity of the prefix cache, in blocks of prompt text.
    pub cache_blocks: usize,
    /// Age of the load reports.
    pub load_lag: Duration,
    /// Tokens in an answer when the request sets no limit.
    pub default_tokens: u32,
    /// What a crash does to the process.
    pub crash_mode: CrashMode,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            platform: None,
            name: "engine".into(),
            zone: "zone".into(),
            versions: Vec::new(),
            step: Duration::from_millis(5),
            batch_limit: 8,
            queue_limit: 64,
            prefill_tokens: 512,
            cache_blocks: 4_096,
            load_lag: Duration::from_millis(500),
            default_tokens: 16,
            crash_mode: CrashMode::Simulate,
        }
    }
}
