//! Authenticated links between the routers of a fleet.
//!
//! A router dials each of its neighbours and accepts links from other routers. A link is a WebSocket
//! whose binary messages hold one CBOR frame each. Both ends prove that they know the fleet's secret
//! before the first frame is sent.

mod link_table;
mod on_demand_links;
mod peer_codec;
mod peer_error;
mod peer_frame;
mod peer_handshake;
mod peer_hub;
mod peer_link;
mod peer_metrics;
mod peer_settings;
mod peer_topic;

pub use peer_codec::{decode, encode};
pub use peer_error::{Delivery, PeerError};
pub use peer_handshake::{PROTOCOL_VERSION, PeerIdentity};
pub use peer_hub::{PeerHandler, PeerHub, PeerMessage, PeerSocket, StreamHandler};
pub use peer_link::ReplyTimes;
pub use peer_settings::PeerSettings;
pub use peer_topic::PeerTopic;
