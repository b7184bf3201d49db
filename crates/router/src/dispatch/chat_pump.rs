//! Passes a stream on to the caller and holds its end back until the bill is durable.

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
use crate::trail::TrailEnd;

/// Events in transit to one caller.
const EVENT_QUEUE: usize = 64;

/// How the passing on ended.
enum PumpEnd {
    /// The engine sent the whole answer.
    Complete,
    /// The caller went away.
    CallerGone,
    /// The answer cannot be completed.
    Broken(DispatchFailure),
}

/// Times of the tokens of one answer.
struct TokenClock {
    workspace: String,
    class: &'static str,
    arrived: Instant,
    last: Option<Instant>,
}

/// Passes `stream` on and settles the run.
pub async fn deliver(mut run: ChatRun, head: RunHead, mut stream: EngineStream, sender: RunSender) {
    let version = head.version.clone();
    let events = open(head, sender);
    let end = pump(&run, &mut stream, &events).await;
    run.bill.add(&run.core, &version, stream.usage());
    match end {
        PumpEnd::Complete => {
            run.learn(&version, stream.usage());
            run.rate(stream.take_text());
            run.settle(&version, BillOutcome::Answered).await;
            let _ = events.send(Ok(encode(STREAM_END))).await;
        }
        PumpEnd::CallerGone => {
            drop(stream);
            run.settle(&version, BillOutcome::Cancelled).await;
        }
        PumpEnd::Broken(failure) => {
            run.turn.confirm_crash(stream.host(), &failure).await;
            drop(stream);
            break_off(&events, &failure).await;
            let reason = failure.to_string();
            run.finish(TrailEnd::Broken { reason });
        }
    }
}

/// Passes on a stream that was read to its end and is part of the run's bill.
pub async fn deliver_collected(
    run: ChatRun,
    head: RunHead,
    stream: CollectedStream,
    sender: RunSender,
) {
    let version = head.version.clone();
    let events = open(head, sender);
    let mut clock = TokenClock::new(&run);
    for event in stream.events {
        clock.tick();
        if events.send(Ok(event)).await.is_err() {
            break;
        }
    }
    run.settle(&version, BillOutcome::Answered).await;
    let _ = events.send(Ok(encode(STREAM_END))).await;
}

/// Starts the answer at the caller; its events go into the returned queue.
fn open(head: RunHead, sender: RunSender) -> EventSender {
    let (events, receiver) = mpsc::channel(EVENT_QUEUE);
    let answer = RunAnswer::Stream {
        head,
        events: receiver,
    };
    let _ = sender.send(Ok(answer));
    events
}

/// Passes events on; a stream that breaks is resumed as long as each connection brings it forward.
async fn pump(run: &ChatRun, stream: &mut EngineStream, events: &EventSender) -> PumpEnd {
    let mut clock = TokenClock::new(run);
    let mut resumable = true;
    loop {
        let step = tokio::select! {
            step = stream.next(run.request.deadline) => step,
            () = events.closed() => return PumpEnd::CallerGone,
        };
        match step {
            Ok(StreamStep::End) => return PumpEnd::Complete,
            Ok(StreamStep::Event(event)) => {
                clock.tick();
                resumable = true;
                if events.send(Ok(event)).await.is_err() {
                    return PumpEnd::CallerGone;
                }
            }
            Err(failure) if resumable && failure.kind == UpstreamFailure::BrokenInAnswer => {
                resumable = false;
                if engine_call::resume(&run.core, stream, &run.request)
                    .await
                    .is_err()
                {
                    return PumpEnd::Broken(failure);
                }
            }
            Err(failure) => return PumpEnd::Broken(failure),
        }
    }
}

/// Ends the stream so that no caller can take it for a whole answer.
async fn break_off(events: &EventSender, failure: &DispatchFailure) {
    let refusal = failure.to_refusal();
    let event =
        json!({ "error": { "message": refusal.detail, "type": refusal.kind, "run": refusal.run } });
    let _ = events.send(Ok(encode(&event.to_string()))).await;
    let _ = events.send(Err(refusal.detail.into())).await;
}

impl TokenClock {
    fn new(run: &ChatRun) -> Self {
        Self {
            workspace: run.request.workspace.to_string(),
            class: run.request.class.name(),
            arrived: run.request.arrived,
            last: None,
        }
    }

    fn tick(&mut self) {
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
