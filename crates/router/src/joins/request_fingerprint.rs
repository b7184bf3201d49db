//! Digest of a request's content, so that a reused id never returns another request's answer.

use hyper::HeaderMap;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Headers that affect the answer to a request.
const HEADERS: [&str; 3] = ["content-type", "ferry-session", "ferry-labels"];

/// SHA-256 of a request's method, path, body and the headers that affect its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestFingerprint([u8; 32]);

impl RequestFingerprint {
    /// Computes the fingerprint of a request.
    pub fn new(method: &str, path: &str, headers: &HeaderMap, body: &[u8]) -> Self {
        let mut digest = Sha256::new();
        let values = HEADERS.into_iter().map(|name| headers.get(name));
        let values = values.map(|value| value.map_or(&[][..], |value| value.as_bytes()));
        let parts = [method.as_bytes(), path.as_bytes()].into_iter();
        for part in parts.chain(values).chain([body]) {
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        Self(digest.finalize().into())
    }
}
