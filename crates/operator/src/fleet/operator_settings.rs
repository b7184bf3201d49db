//! Settings of an operator's tool.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;

/// Where the platform and the routers are.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Who the changes are published by.
    pub operator: String,
    /// Base address of the platform, `http://IP:PORT`.
    pub platform_url: String,
    /// Token of the admin ports.
    pub admin_token: String,
    /// Admin address of each router host, by its name in the host list.
    pub routers: BTreeMap<String, SocketAddr>,
    /// Age up to which routers take their configuration for fresh, in milliseconds; as in theirs.
    #[serde(default = "default_freshness_ms")]
    pub freshness_ms: u64,
}

fn default_freshness_ms() -> u64 {
    3_000
}
