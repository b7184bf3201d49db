//! Frames of a link: one CBOR value in each WebSocket message.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{PeerError, PeerTopic, decode, encode};

/// Largest frame, in bytes.
pub const FRAME_LIMIT: usize = 4 * 1_024 * 1_024;

/// One frame after the handshake.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum PeerFrame {
    /// A message without a reply.
    Notice {
        /// Topic of the message.
        topic: PeerTopic,
        /// Content, encoded with [`encode`].
        body: Bytes,
    },
    /// A message that expects a reply with the same id.
    Query {
        /// Number of the query on this link.
        id: u64,
        /// Topic of the message.
        topic: PeerTopic,
        /// Content, encoded with [`encode`].
        body: Bytes,
    },
    /// The reply to a query.
    Reply {
        /// Number of the query.
        id: u64,
        /// Topic of the query.
        topic: PeerTopic,
        /// Outcome of the query at the peer.
        outcome: QueryOutcome,
    },
}

/// Outcome of a query at the peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueryOutcome {
    /// The handler's reply.
    Answer(Bytes),
    /// The handler received the query and gave no reply.
    Unanswered,
    /// Too many queries are being handled; the handler did not receive this one.
    Busy,
}

/// A frame encoded for the wire.
#[derive(Debug, Clone)]
pub struct EncodedFrame {
    /// Topic of the frame.
    pub topic: PeerTopic,
    /// Encoded frame, at most [`FRAME_LIMIT`] bytes.
    pub bytes: Bytes,
    /// When it was encoded.
    pub encoded_at: Instant,
}

impl PeerFrame {
    /// Topic of the message in the frame.
    pub fn topic(&self) -> PeerTopic {
        match self {
            Self::Notice { topic, .. } | Self::Query { topic, .. } | Self::Reply { topic, .. } => {
                *topic
            }
        }
    }

    /// Encodes the frame and checks its size against [`FRAME_LIMIT`].
    pub fn to_wire(&self) -> Result<EncodedFrame, PeerError> {
        let bytes = encode(self)?;
        if bytes.len() > FRAME_LIMIT {
            return Err(PeerError::TooLarge {
                size: bytes.len(),
                limit: FRAME_LIMIT,
            });
        }
        Ok(EncodedFrame {
            topic: self.topic(),
            bytes,
            encoded_at: Instant::now(),
        })
    }

    /// Decodes a frame.
    pub fn from_wire(bytes: &[u8]) -> Result<Self, PeerError> {
        decode(bytes)
    }
}
