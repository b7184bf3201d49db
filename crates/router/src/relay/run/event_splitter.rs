//! Splits a stream into whole events, byte by byte as they came.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// Longest event, in bytes; a longer one is an error of its upstream.
const EVENT_LIMIT: usize = 1024 * 1024;
/// Field that holds an event's identifier.
const ID_FIELD: &[u8] = b"id:";

/// An event is longer than any upstream sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {EVENT_LIMIT} bytes; check the upstream")]
pub struct EventTooLong;

/// Bytes of a stream up to the end of its last whole event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    /// Identifier of the last whole event.
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Takes in `data` and returns the events that are whole now, which may be none.
    ///
    /// # Errors
    ///
    /// Fails when an event does not end.
    pub fn push(&mut self, data: &[u8]) -> Result<Bytes, EventTooLong> {
        self.partial.extend_from_slice(data);
        let Some(end) = last_event_end(&self.partial) else {
            return match self.partial.len() {
                0..=EVENT_LIMIT => Ok(Bytes::new()),
                _ => Err(EventTooLong),
            };
        };
        let events = self.partial.split_to(end).freeze();
        self.last_id = last_event_id(&events).or(self.last_id);
        Ok(events)
    }

    /// Identifier of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Bytes after the last whole event.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }
}

/// End of the last blank line, which ends an event.
fn last_event_end(data: &[u8]) -> Option<usize> {
    let unix = memmem::rfind(data, b"\n\n").map(|start| start + 2);
    let network = memmem::rfind(data, b"\r\n\r\n").map(|start| start + 4);
    unix.max(network)
}

fn last_event_id(events: &[u8]) -> Option<u64> {
    events
        .split(|byte| *byte == b'\n')
        .rev()
        .find_map(|line| line.strip_prefix(ID_FIELD))
        .and_then(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
}
