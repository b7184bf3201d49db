//! What the headers of an answer say that its body is.

use hyper::HeaderMap;
use hyper::header::CONTENT_TYPE;

/// Media type of a stream of events.
const EVENT_STREAM_TYPE: &str = "text/event-stream";

/// Type of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyType {
    /// A stream of events.
    Events,
    /// Something else.
    Other,
    /// Not stated; to a streaming rule, a stream of events.
    Unstated,
}

impl BodyType {
    /// Type of the body that follows `headers`.
    pub fn of(headers: &HeaderMap) -> Self {
        let Some(media_type) = headers.get(CONTENT_TYPE) else {
            return Self::Unstated;
        };
        let media_type = media_type.to_str().unwrap_or_default();
        let media_type = media_type.trim_start().to_ascii_lowercase();
        if media_type.starts_with(EVENT_STREAM_TYPE) {
            Self::Events
        } else {
            Self::Other
        }
    }

    /// Whether the body of an answer to a streaming rule is a stream of events.
    pub fn may_be_events(self) -> bool {
        self != Self::Other
    }
}
