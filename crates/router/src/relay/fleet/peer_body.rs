//! Encoding of the bodies of messages between routers; failures are logged.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::peer::{self, PeerMessage};

/// Decodes the body of `message`; logs a failure, in which `what` names the kind of message.
pub fn read<T: DeserializeOwned>(message: &PeerMessage, what: &str) -> Option<T> {
    peer::decode(&message.body)
        .inspect_err(|error| {
            spdlog::warn!("invalid {} of another router ignored: {}", what, error, kv: {
                router = message.from.as_str(),
            });
        })
        .ok()
}

/// Decodes a record that a router wrote into the store at `offset`; logs a failure, in which `what` names the record.
pub fn read_record<T: DeserializeOwned>(value: &[u8], what: &str, offset: u64) -> Option<T> {
    peer::decode(value)
        .inspect_err(|error| {
            spdlog::warn!("ignoring a malformed {}: {}", what, error, kv: { offset = offset });
        })
        .ok()
}

/// Encodes `body`; logs a failure, in which `what` names the message.
pub fn write(body: &impl Serialize, what: &str) -> Option<Bytes> {
    peer::encode(body)
        .inspect_err(|error| spdlog::error!("{} cannot be encoded: {}", what, error))
        .ok()
}
