//! Metrics of the links between routers.

use metrics::counter;

use super::{PeerError, PeerTopic};

/// Counts a frame that was written to a link.
pub fn count_sent(topic: PeerTopic, size: usize) {
    counter!("ferry_peer_sent_frames_total", "topic" => topic.as_str()).increment(1);
    counter!("ferry_peer_sent_bytes_total", "topic" => topic.as_str()).increment(size as u64);
}

/// Counts a frame that was read from a link.
pub fn count_received(topic: PeerTopic, size: usize) {
    counter!("ferry_peer_received_frames_total", "topic" => topic.as_str()).increment(1);
    counter!("ferry_peer_received_bytes_total", "topic" => topic.as_str()).increment(size as u64);
}

/// Counts a message that was refused by a full queue on its way out.
pub fn count_refused(topic: PeerTopic) {
    counter!("ferry_peer_refused_frames_total", "topic" => topic.as_str()).increment(1);
}

/// Counts a received message that was dropped because the handler lags.
pub fn count_dropped(topic: PeerTopic) {
    counter!("ferry_peer_dropped_frames_total", "topic" => topic.as_str()).increment(1);
}

/// Counts a link or handshake that ended with an error.
pub fn count_link_error(error: &PeerError) {
    counter!("ferry_peer_link_errors_total", "kind" => error.kind()).increment(1);
}
