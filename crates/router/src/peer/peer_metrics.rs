//! Metrics of the links between routers.

use metrics::counter;

use super::{PeerError, PeerTopic};

/// Counts a frame taken from the send queue of a link, and its bytes.
pub fn count_sent(topic: PeerTopic, size: usize) {
    counter!("ferry_peer_sent_frames_total", "topic" => topic.as_str()).increment(1);
    counter!("ferry_peer_sent_bytes_total", "topic" => topic.as_str()).increment(size as u64);
}

/// Counts a frame that was read from a link, and its bytes.
pub fn count_received(topic: PeerTopic, size: usize) {
    counter!("ferry_peer_received_frames_total", "topic" => topic.as_str()).increment(1);
    counter!("ferry_peer_received_bytes_total", "topic" => topic.as_str()).increment(size as u64);
}

/// Counts a frame that was refused because the send queue is full.
pub fn count_refused(topic: PeerTopic) {
    counter!("ferry_peer_refused_frames_total", "topic" => topic.as_str()).increment(1);
}

/// Counts a received notice that was dropped because the inbox of the handler is full.
pub fn count_dropped(topic: PeerTopic) {
    counter!("ferry_peer_dropped_frames_total", "topic" => topic.as_str()).increment(1);
}

/// Counts a link or handshake that ended with an error.
pub fn count_link_error(error: &PeerError) {
    counter!("ferry_peer_link_errors_total", "kind" => error.kind()).increment(1);
}
