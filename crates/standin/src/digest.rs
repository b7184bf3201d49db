//! Short digests that let a caller match an answer to its request.

use ferry_platform::engine::ChatMessage;
use serde_json::Value;
use sha2::{Digest, Sha256};

/// Length of a short digest in bytes, before hexadecimal encoding.
const DIGEST_BYTES: usize = 8;

/// First bytes of the SHA-256 of `content`, in hexadecimal.
pub fn body_digest(content: &[u8]) -> String {
    shorten(Sha256::new_with_prefix(content))
}

/// Digest of the contents of `messages` in order.
///
/// Content other than plain text is hashed in its JSON form.
pub fn message_digest(messages: &[ChatMessage]) -> String {
    let mut hasher = Sha256::new();
    for message in messages {
        match &message.content {
            Value::String(text) => hasher.update(text.as_bytes()),
            other => hasher.update(other.to_string().as_bytes()),
        }
    }
    shorten(hasher)
}

fn shorten(hasher: Sha256) -> String {
    hex::encode(&hasher.finalize()[..DIGEST_BYTES])
}
