//! Metrics of the links between routers.

use std::time::Duration;

use metrics::{counter, gauge, histogram};

use super::{PeerError, PeerTopic};

/// Counts a frame taken from the send queue of a link, and its bytes.
pub fn count_sent(topic: PeerTopic, size: usize) {
    counter!("ferry_peer_sent_frames_total", "topic" => topic.as_str()).increment(1);
    counter!("ferry_peer_sent_bytes_total", "topic" => topic.as_str()).increment(size as u64);
}

/// Records the time between the encoding of a frame and the end of its write.
pub fn record_frame_time(topic: PeerTopic, took: Duration) {
    histogram!("ferry_peer_frame_seconds", "topic" => topic.as_str()).record(took.as_secs_f64());
}

/// Adds `bytes`, or removes them if negative, from the bytes that wait in the send queues of all links.
pub fn change_queued(bytes: f64) {
    gauge!("ferry_peer_queued_bytes").increment(bytes);
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
