//! Bodies of the messages between routers, with a log line where one is of no use.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::peer::{self, PeerMessage};

/// Reads the body of `message`, which is a router's `what`.
pub fn read<T: DeserializeOwned>(message: &PeerMessage, what: &str) -> Option<T> {
    peer::decode(&message.body)
        .inspect_err(|error| {
            spdlog::warn!("a router's {} is ignored: {}", what, error, kv: {
                router = message.from.as_str(),
            });
        })
        .ok()
}

/// Encodes `body`, which the log calls `what`.
pub fn write(body: &impl Serialize, what: &str) -> Option<Bytes> {
    peer::encode(body)
        .inspect_err(|error| spdlog::error!("{} cannot be encoded: {}", what, error))
        .ok()
}
