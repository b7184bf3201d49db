//! How a platform stand-in is set up.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use super::RetentionRule;

/// Set-up of a platform stand-in.
#[derive(Debug, Clone)]
pub struct PlatformOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Appends that the log service takes in a second, over all streams.
    pub appends_per_second: u32,
    /// How long records are kept.
    pub retention: RetentionRule,
    /// Time after which the host list shows a change.
    pub hosts_lag: Duration,
    /// Time that a rating takes.
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
