//! Reads the events of an engine's streamed answer.

use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use eventsource_stream::{Event, Eventsource};
use ferry_kernel::http::{complete_events, held_piece_bytes};
use ferry_platform::engine::{ChatChunk, STREAM_END, TokenUsage};
use futures::{Stream, StreamExt};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use super::DispatchFailure;
use crate::upstream::{InFlightGuard, UpstreamHost};

type EventStream = Pin<Box<dyn Stream<Item = Result<Event, String>> + Send>>;

/// Result of reading from a stream.
#[derive(Debug)]
pub enum StreamStep {
    /// Encoded event to forward.
    Event(Bytes),
    /// The answer is complete.
    End,
}

/// Streamed answer in progress; dropping it cancels the run on the engine.
pub struct EngineStream {
    guard: InFlightGuard,
    events: EventStream,
    /// First event, read before the stream is delivered and not yet returned.
    first_event: Option<Event>,
    /// Tokens received so far; replaced by the engine's own count when it sends one.
    usage: TokenUsage,
    /// Text received so far; `None` if it is not kept.
    text: Option<String>,
    /// Whether the engine has sent its own token count.
    has_engine_count: bool,
}

/// Streamed answer that was read to its end.
#[derive(Debug, Clone)]
pub struct CollectedStream {
    /// Encoded events in order, without the end marker.
    pub events: Vec<Bytes>,
    /// Text of the answer; empty if it was not kept.
    pub text: String,
    /// Tokens used; counted by this router if the engine sent no count.
    pub usage: TokenUsage,
}

impl EngineStream {
    /// Creates a stream over `body`; `keep_text` keeps the text of the answer.
    pub fn new(guard: InFlightGuard, body: Incoming, keep_text: bool) -> Self {
        Self {
            guard,
            events: event_stream(body),
            first_event: None,
            usage: TokenUsage::default(),
            text: keep_text.then(String::new),
            has_engine_count: false,
        }
    }

    /// Waits for the first event and buffers it for [`EngineStream::next`].
    ///
    /// # Errors
    ///
    /// Fails when the stream ends or breaks without an event, or the deadline passes.
    pub async fn read_first(&mut self, deadline: Instant) -> Result<(), DispatchFailure> {
        let event = self.next_event(deadline).await?;
        self.first_event = Some(event);
        Ok(())
    }

    /// Reads the next event of the answer.
    ///
    /// # Errors
    ///
    /// Fails when the stream breaks before its end marker or the deadline passes.
    pub async fn next(&mut self, deadline: Instant) -> Result<StreamStep, DispatchFailure> {
        let event = match self.first_event.take() {
            Some(event) => event,
            None => self.next_event(deadline).await?,
        };
        if event.data == STREAM_END {
            return Ok(StreamStep::End);
        }
        self.apply_chunk(&event.data);
        Ok(StreamStep::Event(encode(&event.data)))
    }

    /// Reads the rest of the answer.
    ///
    /// # Errors
    ///
    /// Fails as [`EngineStream::next`] does, and when the answer takes more than `limit` bytes of memory.
    pub async fn collect(
        mut self,
        deadline: Instant,
        limit: usize,
    ) -> Result<CollectedStream, DispatchFailure> {
        let mut events = Vec::new();
        let mut size = 0;
        while let StreamStep::Event(event) = self.next(deadline).await? {
            size += held_piece_bytes(&event);
            if size > limit {
                return Err(DispatchFailure::broken_answer(&format!(
                    "it takes more than {limit} bytes of memory"
                )));
            }
            events.push(event);
        }
        Ok(CollectedStream {
            events,
            text: self.text.unwrap_or_default(),
            usage: self.usage,
        })
    }

    /// Continues with `body`, which holds the rest of the same answer, after a broken connection.
    pub fn resume(&mut self, body: Incoming) {
        self.events = event_stream(body);
    }

    /// Takes the text received so far; empty if it was not kept.
    pub fn take_text(&mut self) -> String {
        self.text.take().unwrap_or_default()
    }

    /// Tokens received so far.
    pub fn usage(&self) -> TokenUsage {
        self.usage
    }

    /// Upstream that runs the request.
    pub fn host(&self) -> &Arc<UpstreamHost> {
        self.guard.host()
    }

    /// Address of the upstream, `http://IP:PORT`.
    pub fn host_url(&self) -> String {
        self.guard.host().url()
    }

    async fn next_event(&mut self, deadline: Instant) -> Result<Event, DispatchFailure> {
        match timeout_at(deadline, self.events.next()).await {
            Err(_) => Err(DispatchFailure::deadline_passed()),
            Ok(None) => Err(DispatchFailure::broken_answer(
                "the stream ended before its end mark",
            )),
            Ok(Some(Err(reason))) => Err(DispatchFailure::broken_answer(&reason)),
            Ok(Some(Ok(event))) => Ok(event),
        }
    }

    fn apply_chunk(&mut self, data: &str) {
        let Ok(chunk) = serde_json::from_str::<ChatChunk>(data) else {
            return;
        };
        if let Some(usage) = chunk.usage {
            self.usage = usage;
            self.has_engine_count = true;
        }
        let Some(piece) = chunk
            .choices
            .first()
            .and_then(|c| c.delta.content.as_deref())
        else {
            return;
        };
        if !self.has_engine_count {
            self.usage.completion_tokens += 1;
        }
        if let Some(text) = &mut self.text {
            text.push_str(piece);
        }
    }
}

/// Whether `event` is the end marker of a stream.
pub fn is_end_marker(event: &[u8]) -> bool {
    event
        .strip_prefix(b"data: ")
        .is_some_and(|data| data.trim_ascii_end() == STREAM_END.as_bytes())
}

/// Encodes `data` as one server-sent event.
pub fn encode(data: &str) -> Bytes {
    let mut text = String::with_capacity(data.len() + 8);
    for line in data.lines() {
        text.push_str("data: ");
        text.push_str(line);
        text.push('\n');
    }
    text.push('\n');
    Bytes::from(text)
}

fn event_stream(body: Incoming) -> EventStream {
    let events = complete_events(body).eventsource();
    Box::pin(events.map(|event| event.map_err(|error| error.to_string())))
}
