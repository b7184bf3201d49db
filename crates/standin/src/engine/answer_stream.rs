//! Answers of a run, as one JSON document or as server-sent events.

use std::sync::Arc;

use bytes::Bytes;
use ferry_kernel::http::{HttpBody, dropped_connection, json_response, streamed};
use ferry_platform::engine::{
    ChatAnswer, ChatChoice, ChatChunk, ChatDelta, ChatMessage, ChunkChoice, STREAM_END, TokenUsage,
};
use futures::stream;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use tokio::sync::watch;

use super::EngineState;
use super::chat_run::{ChatRun, RunPhase, RunProgress};
use crate::reply;

/// `finish_reason` of every answer.
const FINISH_REASON: &str = "stop";

/// Reason why a stream breaks before its end.
#[derive(Debug, Clone, Copy, thiserror::Error)]
enum BrokenStream {
    /// The run was cancelled, or lost in a crash.
    #[error("the run ended early; resume the stream or send the request again")]
    RunEnded,
    /// The fault `break_streams_after` broke the connection.
    #[error("stream broken by the injected fault break_streams_after; resume the stream")]
    FaultInjected,
}

/// A caller that reads the answer of a run; the run is suspended when its last reader is dropped.
#[derive(Debug)]
pub(super) struct RunReader {
    state: Arc<EngineState>,
    run: Arc<ChatRun>,
    progress: watch::Receiver<RunProgress>,
}

impl RunReader {
    pub(super) fn new(state: Arc<EngineState>, run: Arc<ChatRun>) -> Self {
        run.attach();
        let progress = run.progress.subscribe();
        Self {
            state,
            run,
            progress,
        }
    }

    /// Waits for the end of the run and returns the answer as one document.
    pub(super) async fn answer_whole(mut self) -> Response<HttpBody> {
        let ended = self.progress.wait_for(|progress| {
            !matches!(
                progress.phase,
                RunPhase::Waiting | RunPhase::Running | RunPhase::Suspended
            )
        });
        let phase = ended
            .await
            .map_or(RunPhase::Crashed, |progress| progress.phase);
        match phase {
            RunPhase::Finished => json_response(StatusCode::OK, &whole_answer(&self.run)),
            RunPhase::Cancelled => {
                let message = "the run was cancelled; send the request again";
                reply::error(StatusCode::CONFLICT, message)
            }
            _ => dropped_connection(),
        }
    }

    /// Returns a stream of the events of all tokens, starting at token `from`.
    pub(super) fn answer_stream(self, from: usize) -> Response<HttpBody> {
        let cursor = StreamCursor {
            reader: self,
            from,
            sent: from,
            ended: false,
        };
        let events = stream::unfold(cursor, |mut cursor| async move {
            let events = cursor.next_events().await?;
            Some((events.map_err(Into::into), cursor))
        });
        let mut response = Response::new(streamed(events));
        response
            .headers_mut()
            .insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        response
    }
}

impl Drop for RunReader {
    fn drop(&mut self) {
        if self.run.detach() {
            self.state.suspend(&self.run);
        }
    }
}

/// Position of a reader in the stream of an answer.
struct StreamCursor {
    reader: RunReader,
    /// Number of tokens skipped at the start.
    from: usize,
    /// Number of tokens sent or skipped so far.
    sent: usize,
    ended: bool,
}

impl StreamCursor {
    /// Waits for new events and returns all that are available; `None` after the end of the stream.
    async fn next_events(&mut self) -> Option<Result<Bytes, BrokenStream>> {
        if self.ended {
            return None;
        }
        let sent = self.sent;
        let ready = self.reader.progress.wait_for(|progress| {
            progress.generated > sent
                || !matches!(progress.phase, RunPhase::Waiting | RunPhase::Running)
        });
        let Ok(progress) = ready.await.map(|progress| *progress) else {
            self.ended = true;
            return Some(Err(BrokenStream::RunEnded));
        };
        self.reader.state.gate.wait_while_frozen().await;
        Some(self.take_events(progress))
    }

    fn take_events(&mut self, progress: RunProgress) -> Result<Bytes, BrokenStream> {
        let limit = self.break_limit();
        let end = progress.generated.min(limit).max(self.sent);
        if end == self.sent && end >= limit {
            self.ended = true;
            return Err(BrokenStream::FaultInjected);
        }
        let run = &self.reader.run;
        let mut text: String = (self.sent..end)
            .map(|index| token_event(run, index))
            .collect();
        self.sent = end;
        if progress.phase == RunPhase::Finished && end == run.tokens.len() {
            self.ended = true;
            text.push_str(&usage_event(run));
            text.push_str(&event(STREAM_END));
        } else if text.is_empty() {
            self.ended = true;
            return Err(BrokenStream::RunEnded);
        }
        Ok(text.into())
    }

    /// Number of tokens, with those skipped at the start, after which the fault `break_streams_after`
    /// breaks this connection; `usize::MAX` without the fault.
    fn break_limit(&self) -> usize {
        let limit = self.reader.state.gate.order().break_streams_after;
        let limit = limit.map(|limit| usize::try_from(limit).unwrap_or(usize::MAX));
        limit.map_or(usize::MAX, |limit| self.from.saturating_add(limit))
    }
}

fn whole_answer(run: &ChatRun) -> ChatAnswer {
    ChatAnswer {
        id: answer_id(run),
        object: "chat.completion".to_owned(),
        model: run.version.to_string(),
        choices: vec![ChatChoice {
            index: 0,
            message: ChatMessage {
                role: "assistant".to_owned(),
                content: run.tokens.concat().into(),
                rest: Default::default(),
            },
            finish_reason: FINISH_REASON.to_owned(),
        }],
        usage: run.usage(),
    }
}

fn token_event(run: &ChatRun, index: usize) -> String {
    let last = index + 1 == run.tokens.len();
    let choice = ChunkChoice {
        index: 0,
        delta: ChatDelta {
            role: (index == 0).then(|| "assistant".to_owned()),
            content: run.tokens.get(index).cloned(),
        },
        finish_reason: last.then(|| FINISH_REASON.to_owned()),
    };
    chunk_event(run, vec![choice], None)
}

fn usage_event(run: &ChatRun) -> String {
    chunk_event(run, Vec::new(), Some(run.usage()))
}

fn chunk_event(run: &ChatRun, choices: Vec<ChunkChoice>, usage: Option<TokenUsage>) -> String {
    let chunk = ChatChunk {
        id: answer_id(run),
        object: "chat.completion.chunk".to_owned(),
        model: run.version.to_string(),
        choices,
        usage,
    };
    event(&serde_json::to_string(&chunk).unwrap_or_default())
}

fn event(data: &str) -> String {
    format!("data: {data}\n\n")
}

fn answer_id(run: &ChatRun) -> String {
    format!("chatcmpl-{}", run.id)
}
