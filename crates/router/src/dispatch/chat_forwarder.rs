//! Forwards a stream to the caller and delays its end marker until the bill is durable.

use std::time::Duration;

use ferry_decisions::bill::BillOutcome;
use ferry_decisions::retry::UpstreamFailure;
use ferry_platform::engine::STREAM_END;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::chat_run::ChatRun;
use super::engine_stream::{CollectedStream, EngineStream, StreamStep, encode};
use super::run_answer::{EventSender, RunAnswer, RunHead, RunSender};
use super::{DispatchFailure, engine_call};
use crate::trace::TraceOutcome;

/// Capacity of the event channel to one caller, in events.
const EVENT_CHANNEL_SIZE: usize = 64;

/// How forwarding ended.
enum ForwardEnd {
    /// The engine sent the complete answer.
    Complete,
    /// The caller disconnected.
    CallerGone,
    /// The stream failed and could not be resumed.
    Broken(DispatchFailure),
}

/// Measures the time to the first token and the gaps between tokens of one answer.
struct TokenTimer {
    workspace: String,
    class: &'static str,
    arrived: Instant,
    last: Option<Instant>,
}

/// Forwards `stream` to the caller, then bills and finishes the run.
pub async fn deliver(mut run: ChatRun, head: RunHead, mut stream: EngineStream, sender: RunSender) {
    let version = head.version.clone();
    let events = open_stream(head, sender);
    let end = forward_events(&run, &mut stream, &events).await;
    run.bill.add(&run.core, &version, stream.usage());
    match end {
        ForwardEnd::Complete => {
            run.record_answer(&version, stream.usage());
            run.request_rating(stream.take_text());
            run.bill_and_finish(&version, BillOutcome::Answered).await;
            let _ = events.send(Ok(encode(STREAM_END))).await;
        }
        ForwardEnd::CallerGone => {
            drop(stream);
            run.bill_and_finish(&version, BillOutcome::Cancelled).await;
        }
        ForwardEnd::Broken(failure) => {
            run.crash_tracker
                .confirm_crash(stream.host(), &failure)
                .await;
            drop(stream);
            abort_stream(&events, &failure).await;
            let reason = failure.to_string();
            run.finish(TraceOutcome::Broken { reason });
        }
    }
}

/// Delivers a stream that was read to its end and is already included in the bill.
pub async fn deliver_collected(
    run: ChatRun,
    head: RunHead,
    stream: CollectedStream,
    sender: RunSender,
) {
    let version = head.version.clone();
    let events = open_stream(head, sender);
    let mut timer = TokenTimer::new(&run);
    for event in stream.events {
        timer.record_token();
        if events.send(Ok(event)).await.is_err() {
            break;
        }
    }
    run.bill_and_finish(&version, BillOutcome::Answered).await;
    let _ = events.send(Ok(encode(STREAM_END))).await;
}

/// Sends the head of the answer to the caller and returns the channel for its events.
fn open_stream(head: RunHead, sender: RunSender) -> EventSender {
    let (events, receiver) = mpsc::channel(EVENT_CHANNEL_SIZE);
    let answer = RunAnswer::Stream {
        head,
        events: receiver,
    };
    let _ = sender.send(Ok(answer));
    events
}

/// Forwards events. A stream that breaks is resumed, unless the last resumption delivered no event.
async fn forward_events(
    run: &ChatRun,
    stream: &mut EngineStream,
    events: &EventSender,
) -> ForwardEnd {
    let mut timer = TokenTimer::new(run);
    let mut may_resume = true;
    loop {
        let step = tokio::select! {
            step = stream.next(run.request.deadline) => step,
            () = events.closed() => return ForwardEnd::CallerGone,
        };
        match step {
            Ok(StreamStep::End) => return ForwardEnd::Complete,
            Ok(StreamStep::Event(event)) => {
                timer.record_token();
                may_resume = true;
                if events.send(Ok(event)).await.is_err() {
                    return ForwardEnd::CallerGone;
                }
            }
            Err(failure) if may_resume && failure.kind == UpstreamFailure::BrokenInAnswer => {
                may_resume = false;
                if engine_call::resume(&run.core, stream, &run.request)
                    .await
                    .is_err()
                {
                    return ForwardEnd::Broken(failure);
                }
            }
            Err(failure) => return ForwardEnd::Broken(failure),
        }
    }
}

/// Ends the stream with an error event and a connection error, so that no caller can mistake it for
/// a complete answer.
async fn abort_stream(events: &EventSender, failure: &DispatchFailure) {
    let refusal = failure.to_refusal();
    let event =
        json!({ "error": { "message": refusal.detail, "type": refusal.kind, "run": refusal.run } });
    let _ = events.send(Ok(encode(&event.to_string()))).await;
    let _ = events.send(Err(refusal.detail.into())).await;
}

impl TokenTimer {
    fn new(run: &ChatRun) -> Self {
        Self {
            workspace: run.request.workspace.to_string(),
            class: run.request.class.name(),
            arrived: run.request.arrived,
            last: None,
        }
    }

    fn record_token(&mut self) {
        let now = Instant::now();
        match self.last {
            None => self.record("ferry_first_token_seconds", now - self.arrived),
            Some(last) => self.record("ferry_token_gap_seconds", now - last),
        }
        self.last = Some(now);
    }

    fn record(&self, name: &'static str, duration: Duration) {
        metrics::histogram!(name, "workspace" => self.workspace.clone(), "class" => self.class)
            .record(duration.as_secs_f64());
    }
}
