//! Which lives of routers the fleet consists of.

use ferry_decisions::guard::RouterId;
use ferry_decisions::membership::HostHealth;
use ferry_decisions::names::HostName;

use crate::core::RouterCore;

/// Routers of the fleet as this router knows them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetIdentity {
    /// Routers that are listed or heard, this one included.
    pub routers: Vec<RouterId>,
    /// Whether this router's host is listed and each listed host has a router in `routers`.
    pub complete: bool,
    /// Routers that can hand out no more work: off the host list and unheard for long.
    pub gone: Vec<RouterId>,
}

impl FleetIdentity {
    /// What `core` knows of the fleet now.
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
        let is_identified = |host: &HostName| identity.routers.iter().any(|r| r.host == *host);
        identity.complete =
            listed.contains(&core.settings.host) && listed.iter().all(is_identified);
        identity
    }
}
