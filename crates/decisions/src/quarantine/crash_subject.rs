//! What crashes of upstreams are counted for.

use serde::{Deserialize, Serialize};

use super::RequestFingerprint;

/// What several runs that crash upstreams have in common. Parts come first, so that the limits on a message do not keep
/// them back behind requests, of which there are more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CrashSubject {
    /// A part of their prompts, by its identifier.
    Part(u64),
    /// The content of the request.
    Request(RequestFingerprint),
}

impl std::fmt::Display for CrashSubject {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Part(part) => write!(f, "part-{part:x}"),
            Self::Request(request) => request.fmt(f),
        }
    }
}
