//! Configuration of a platform stand-in.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use super::RetentionRule;

/// Configuration of a platform stand-in.
#[derive(Debug, Clone)]
pub struct PlatformOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Appends that the log service accepts per second, over all streams.
    pub appends_per_second: u32,
    /// Initial retention rule.
    pub retention: RetentionRule,
    /// Delay before the host list shows a change.
    pub hosts_lag: Duration,
    /// Duration of a rating call.
    pub ratings_lag: Duration,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            appends_per_second: 400,
            retention: RetentionRule::default(),
            hosts_lag: Duration::from_millis(200),
            ratings_lag: Duration::from_millis(50),
        }
    }
}
