//! Identity of one life of a router.

use serde::{Deserialize, Serialize};

use crate::names::{HostName, Incarnation};

/// One life of a router process on a host; a restart gives a new identity.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterId {
    /// Host that the router runs on.
    pub host: HostName,
    /// Life of the process.
    pub incarnation: Incarnation,
}

impl RouterId {
    /// The identity that sorts before all others; no router has it.
    pub(crate) fn least() -> Self {
        Self {
            host: HostName::new(""),
            incarnation: Incarnation(uuid::Uuid::nil()),
        }
    }
}
