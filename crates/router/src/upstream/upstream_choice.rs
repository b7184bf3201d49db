//! Choice of the upstream that gets a request.

use std::sync::Arc;

use ferry_decisions::names::HostName;

use super::UpstreamHost;
use super::upstream_table::UpstreamList;

/// Chooses among `hosts`, leaving out those already `tried`.
pub fn choose<'a>(hosts: &'a UpstreamList, tried: &[HostName]) -> Option<&'a Arc<UpstreamHost>> {
    hosts
        .iter()
        .filter(|host| !host.is_leaving() && !tried.contains(&host.entry.name))
        .min_by_key(|host| host.in_flight())
}
