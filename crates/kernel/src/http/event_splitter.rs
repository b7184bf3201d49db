//! Splits a stream of bytes into complete events without changing them.

use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt};
use http_body_util::BodyDataStream;
use hyper::body::Body;
use memchr::memmem;

use super::BoxError;

/// Longest event, in bytes; a longer one counts as a failure of its upstream.
const EVENT_LIMIT: usize = 256 * 1024;
/// Field that holds an event's identifier.
const ID_FIELD: &[u8] = b"id:";

/// Line breaks that end a line and the blank line after it.
const BLANK_LINES: [&[u8]; 3] = [b"\n\n", b"\n\r\n", b"\r\r"];
/// Length of the longest of them, in bytes.
const LONGEST_BLANK_LINE: usize = 3;

/// An upstream sent an event longer than `EVENT_LIMIT`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the upstream sent an event longer than {EVENT_LIMIT} bytes; check the upstream")]
pub struct EventTooLong;

/// Collects the bytes of a stream and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes after the last complete event.
    partial: BytesMut,
    /// Identifier of the last complete event that had one.
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Appends `data` and returns the events that are complete now; empty if there are none.
    ///
    /// # Errors
    ///
    /// Fails when an event does not end within `EVENT_LIMIT` bytes.
    pub fn push(&mut self, data: &[u8]) -> Result<Bytes, EventTooLong> {
        // The bytes before hold no blank line but one that ends in the new ones, so that each byte is searched about once.
        let searched = self.partial.len().saturating_sub(LONGEST_BLANK_LINE - 1);
        self.partial.extend_from_slice(data);
        let end = last_event_end(&self.partial[searched..]).map(|end| searched + end);
        let Some(end) = end else {
            return match self.partial.len() {
                0..=EVENT_LIMIT => Ok(Bytes::new()),
                _ => Err(EventTooLong),
            };
        };
        let events = self.partial.split_to(end).freeze();
        self.last_id = last_event_id(&events).or(self.last_id);
        Ok(events)
    }

    /// Identifier of the last complete event that had one; the stream can be resumed after it.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the bytes so far end inside an event; line breaks between events belong to none.
    pub fn is_inside_event(&self) -> bool {
        let is_line_break = |byte: &u8| matches!(byte, b'\r' | b'\n');
        !self.partial.iter().all(is_line_break)
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }
}

/// The bytes of `body` up to the end of each event, so that no more of an event that does not end is kept than the limit; bytes after the
/// last event are left out.
pub fn complete_events<B>(body: B) -> impl Stream<Item = Result<Bytes, BoxError>>
where
    B: Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    let mut splitter = EventSplitter::default();
    BodyDataStream::new(body).map(move |piece| {
        let piece = piece.map_err(Into::into)?;
        Ok(splitter.push(&piece)?)
    })
}

/// Position after the last blank line; a blank line ends an event.
fn last_event_end(data: &[u8]) -> Option<usize> {
    let ends = BLANK_LINES.iter().filter_map(|blank_line| {
        memmem::rfind(data, blank_line).map(|start| start + blank_line.len())
    });
    ends.max()
}

fn last_event_id(events: &[u8]) -> Option<u64> {
    events
        .split(|byte| *byte == b'\n')
        .rev()
        .find_map(|line| line.strip_prefix(ID_FIELD))
        .and_then(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
}
