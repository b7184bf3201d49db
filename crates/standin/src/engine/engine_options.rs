//! How an engine stand-in is set up.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ferry_decisions::names::{HostName, VersionName, ZoneName};

use crate::server::CrashMode;

/// Set-up of an engine stand-in.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Base address of the platform to register with.
    pub platform: Option<String>,
    /// Name in the host list.
    pub name: HostName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Versions that it serves.
    pub versions: Vec<VersionName>,
    /// Duration of a step, which makes one token for each running request.
    pub step: Duration,
    /// Requests that run at once.
    pub batch_limit: usize,
    /// Requests that may wait for a place in the batch.
    pub queue_limit: usize,
    /// Prompt tokens that a request takes in during one step before its first token.
    pub prefill_tokens: u64,
    /// Blocks of prompt text that the prefix cache holds.
    pub cache_blocks: usize,
    /// Age of the load reports.
    pub load_lag: Duration,
    /// Tokens of an answer when the request sets no limit.
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
