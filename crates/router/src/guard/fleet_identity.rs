//! Router processes that make up the fleet.

use ferry_decisions::guard::RouterId;
use ferry_decisions::membership::HostHealth;
use ferry_decisions::names::HostName;

use crate::core::RouterCore;

/// Routers of the fleet as known to this router.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetIdentity {
    /// Routers that are on the host list or have a recent report, this one included.
    pub routers: Vec<RouterId>,
    /// Whether this router's host is listed and each listed host has a router in `routers`.
    pub complete: bool,
    /// Routers that can no longer dispatch work: off the host list and without a report for more
    /// than twice the freshness limit.
    pub gone: Vec<RouterId>,
}

impl FleetIdentity {
    /// Reads the current fleet from the member table of `core`.
    pub fn read(core: &RouterCore) -> Self {
        let mut identity = Self::default();
        let listed = core.members.listed_names();
        for known in core.members.known_routers() {
            if known.listed || known.health == HostHealth::Live {
                identity.routers.push(known.router);
            } else if known.silence > core.settings.freshness() * 2 {
                identity.gone.push(known.router);
            }
        }
        let has_router = |host: &HostName| identity.routers.iter().any(|r| r.host == *host);
        identity.complete = listed.contains(&core.settings.host) && listed.iter().all(has_router);
        identity
    }
}
