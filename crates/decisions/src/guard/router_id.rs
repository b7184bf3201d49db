//! Identity of one incarnation of a router.

use serde::{Deserialize, Serialize};

use crate::names::{HostName, Incarnation};

/// One incarnation of a router process on a host; a restart gives a new identity.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterId {
    /// Host that the router runs on.
    pub host: HostName,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

impl RouterId {
    /// Identity that sorts before all others; no router has it.
    pub(crate) fn minimum() -> Self {
        Self {
            host: HostName::new(""),
            incarnation: Incarnation(uuid::Uuid::nil()),
        }
    }
}
