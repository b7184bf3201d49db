//! Settings of operators' tools.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;

/// Addresses and credentials for the platform and the routers.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Name of the operator, recorded in each published change.
    pub operator: String,
    /// Base address of the platform, `http://IP:PORT`.
    pub platform_url: String,
    /// Bearer token for the admin ports.
    pub admin_token: String,
    /// Admin address of each router host, by its name in the host list.
    pub routers: BTreeMap<String, SocketAddr>,
    /// Maximum age at which routers treat their configuration as fresh, in milliseconds; must be the
    /// same as in the routers' settings.
    #[serde(default = "default_freshness_ms")]
    pub freshness_ms: u64,
}

fn default_freshness_ms() -> u64 {
    3_000
}
