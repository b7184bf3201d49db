//! Errors of the links between routers.

use std::net::SocketAddr;
use std::sync::Arc;

use ferry_decisions::names::HostName;

/// Whether a message that failed may have reached the peer's handler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// The handler certainly did not receive it.
    NotDelivered,
    /// The handler may have received it.
    Unknown,
    /// The handler received it.
    Delivered,
}

/// Why a link or a message failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The peer port cannot be opened.
    #[error("cannot listen on {address}: {source}; free the port or change `peer.listen`")]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// No link to the host is up.
    #[error("no link to {0} is up; send again once it is connected, or choose another peer")]
    NotConnected(HostName),
    /// The host could not be dialled, for this query or for one that waited at the same time.
    #[error("no link to {host} could be opened: {error}")]
    Unreached {
        /// Host that was dialled.
        host: HostName,
        /// Why the dial failed.
        error: Arc<PeerError>,
    },
    /// The host did not answer the dial of an on-demand link in time.
    #[error("it did not answer in time; it is dialled again after a moment")]
    DialTimedOut,
    /// The link's send queue is full.
    #[error("the send queue to {0} is full; send again later")]
    QueueFull(HostName),
    /// The message exceeds the limit of a frame.
    #[error("the message has {size} bytes, over the limit of {limit}; split it")]
    TooLarge {
        /// Size of the frame, in bytes.
        size: usize,
        /// Largest frame, in bytes.
        limit: usize,
    },
    /// The peer is handling too many queries.
    #[error("{0} is handling too many queries; query it again later")]
    Busy(HostName),
    /// The peer's handler gave no reply to the query.
    #[error("{0} did not answer the query; check that it runs the same release")]
    Unanswered(HostName),
    /// The link closed before the reply arrived.
    #[error("the link to {0} closed before it answered; retry if the query may be repeated")]
    LinkLost(HostName),
    /// The reply did not arrive in time.
    #[error("{0} did not answer in time; retry if the query may be repeated")]
    TimedOut(HostName),
    /// Nothing at all came on the link while the reply was waited for: the connection may have gone silent, and the next query opens another one.
    #[error("nothing came from {0} while its answer was waited for; ask again, on a new link")]
    NothingCame(HostName),
    /// The peer's reply is not a value of the expected type.
    #[error(
        "the answer of {host} cannot be decoded: {detail}; check that it runs the same release"
    )]
    BadAnswer {
        /// Peer that replied.
        host: HostName,
        /// Decoding error.
        detail: String,
    },
    /// Received bytes that are not a value of the expected type.
    #[error("a peer's message is malformed: {0}; check that all routers run the same release")]
    Malformed(String),
    /// A value that CBOR cannot hold.
    #[error("the message cannot be encoded: {0}; this is a bug, report it")]
    Unencodable(String),
    /// The other end did not prove that it knows the fleet's secret.
    #[error(
        "the other end does not know the fleet's secret; set the same `peer.secret` on all routers"
    )]
    Unauthenticated,
    /// The other end speaks another version of the protocol.
    #[error(
        "the other end speaks protocol version {theirs}, this one {ours}; run the same release on all routers"
    )]
    ProtocolVersion {
        /// Version of this router.
        ours: u32,
        /// Version of the other end.
        theirs: u32,
    },
    /// The host that answered is not the one that was dialled.
    #[error("{found} answered in place of {expected}; check the host list's addresses")]
    WrongHost {
        /// Host that was dialled.
        expected: HostName,
        /// Host that answered.
        found: HostName,
    },
    /// The other end closed the link or was silent for too long during the handshake.
    #[error("the handshake was not completed: {0}; the link is redialled automatically")]
    Handshake(String),
    /// The TCP connection or the WebSocket failed.
    #[error("the link failed: {0}; it is redialled automatically")]
    Transport(String),
    /// A read or a write timed out on the link.
    #[error("the peer did not send or accept data in time; the link is redialled automatically")]
    Silent,
}

impl PeerError {
    /// Whether the message may have reached the peer's handler.
    pub fn delivery(&self) -> Delivery {
        match self {
            Self::LinkLost(_) | Self::TimedOut(_) | Self::NothingCame(_) => Delivery::Unknown,
            Self::Unanswered(_) | Self::BadAnswer { .. } => Delivery::Delivered,
            Self::Listen { .. }
            | Self::NotConnected(_)
            | Self::Unreached { .. }
            | Self::DialTimedOut
            | Self::QueueFull(_)
            | Self::TooLarge { .. }
            | Self::Busy(_)
            | Self::Malformed(_)
            | Self::Unencodable(_)
            | Self::Unauthenticated
            | Self::ProtocolVersion { .. }
            | Self::WrongHost { .. }
            | Self::Handshake(_)
            | Self::Transport(_)
            | Self::Silent => Delivery::NotDelivered,
        }
    }

    /// Whether the peer's handler certainly did not receive the message.
    pub fn is_undelivered(&self) -> bool {
        self.delivery() == Delivery::NotDelivered
    }

    /// Name of the error kind, as metric label.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Listen { .. } => "listen",
            Self::NotConnected(_) => "not_connected",
            Self::Unreached { .. } => "unreached",
            Self::DialTimedOut => "dial_timed_out",
            Self::QueueFull(_) => "queue_full",
            Self::TooLarge { .. } => "too_large",
            Self::Busy(_) => "busy",
            Self::Unanswered(_) => "unanswered",
            Self::LinkLost(_) => "link_lost",
            Self::TimedOut(_) => "timed_out",
            Self::NothingCame(_) => "nothing_came",
            Self::BadAnswer { .. } => "bad_answer",
            Self::Malformed(_) => "malformed",
            Self::Unencodable(_) => "unencodable",
            Self::Unauthenticated => "unauthenticated",
            Self::ProtocolVersion { .. } => "protocol_version",
            Self::WrongHost { .. } => "wrong_host",
            Self::Handshake(_) => "handshake",
            Self::Transport(_) => "transport",
            Self::Silent => "silent",
        }
    }
}
