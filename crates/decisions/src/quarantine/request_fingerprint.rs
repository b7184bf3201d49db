//! Identity of a request by its content.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::names::WorkspaceName;

/// Number of digest bytes kept.
const FINGERPRINT_BYTES: usize = 16;

/// Digest of workspace, target and body; the same for every re-send, regardless of its request id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

impl RequestFingerprint {
    /// Computes the fingerprint of a request of `workspace` for `target`.
    pub fn of(workspace: &WorkspaceName, target: &str, body: &[u8]) -> Self {
        let mut digest = Sha256::new();
        for part in [workspace.as_str().as_bytes(), target.as_bytes()] {
            digest.update((part.len() as u64).to_be_bytes());
            digest.update(part);
        }
        digest.update(body);
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest.finalize()[..FINGERPRINT_BYTES]);
        Self(bytes)
    }
}

impl RequestFingerprint {
    /// The first bytes, to tell a few requests apart.
    pub(super) fn short(&self) -> u32 {
        let [a, b, c, d, ..] = self.0;
        u32::from_be_bytes([a, b, c, d])
    }
}

impl std::fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}
