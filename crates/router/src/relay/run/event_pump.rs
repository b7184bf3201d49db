//! Passes the events of a stream on, and goes on elsewhere when its upstream breaks off.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::retry::UpstreamFailure;
use ferry_decisions::ruleset::RunKind;
use ferry_kernel::http::BoxError;
use http_body_util::BodyExt;
use tokio::time::{timeout, timeout_at};

use super::RelayRun;
use super::event_splitter::EventSplitter;
use super::upstream_send::{SendFailure, UpstreamAnswer};
use crate::relay::request::{RefusalReason, RelayRefusal};
use crate::relay::upstreams::RelayUpstream;

/// Longest pause between two events that is on time, times this, is a hanging upstream.
const SILENCE_GAPS: u32 = 4;

/// A stream on its way to the caller.
pub struct EventPump {
    run: RelayRun,
    /// The answer that is read; absent once the stream has ended.
    answer: Option<UpstreamAnswer>,
    splitter: EventSplitter,
    /// Whether the caller got an event.
    begun: bool,
    /// Whether a silent upstream is waited for, since the stream can't go on elsewhere.
    waits: bool,
}

/// What came of the upstream.
enum PumpStep {
    Events(Bytes),
    End,
    Broken(String),
    /// Nothing came for longer than a sound upstream pauses.
    Silent,
}

impl EventPump {
    /// A pump of `answer`.
    pub fn new(run: RelayRun, answer: UpstreamAnswer) -> Self {
        Self {
            run,
            answer: Some(answer),
            splitter: EventSplitter::default(),
            begun: false,
            waits: false,
        }
    }

    /// The next events; an error breaks the caller's connection off, so that the answer does not
    /// look whole.
    pub async fn next(&mut self) -> Option<Result<Bytes, BoxError>> {
        let until = self.run.request.final_time;
        loop {
            let step = match timeout_at(until, self.step()).await {
                Ok(step) => step?,
                Err(_) => {
                    let refusal = RelayRefusal::not_run(RefusalReason::DeadlinePassed);
                    return Some(Err(self.break_off(refusal)));
                }
            };
            let gone_on = match step {
                PumpStep::Events(events) => {
                    self.begun = true;
                    return Some(Ok(events));
                }
                PumpStep::End => return self.end(),
                PumpStep::Silent => self.leave_silent().await,
                PumpStep::Broken(reason) => self.go_on(&reason).await,
            };
            if let Err(refusal) = gone_on {
                return Some(Err(self.break_off(refusal)));
            }
        }
    }

    /// Reads on until whole events are there; `None` after the end.
    async fn step(&mut self) -> Option<PumpStep> {
        let silence = self.silence_limit();
        let answer = self.answer.as_mut()?;
        loop {
            let Ok(frame) = timeout(silence, answer.body.frame()).await else {
                return Some(PumpStep::Silent);
            };
            let frame = match frame {
                None => return Some(PumpStep::End),
                Some(Err(error)) => return Some(PumpStep::Broken(error.to_string())),
                Some(Ok(frame)) => frame,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            match self.splitter.push(&data) {
                Ok(events) if events.is_empty() => {}
                Ok(events) => return Some(PumpStep::Events(events)),
                Err(error) => return Some(PumpStep::Broken(error.to_string())),
            }
        }
    }

    /// Time without an event after which the upstream counts as hanging, where the stream can go
    /// on elsewhere.
    fn silence_limit(&self) -> Duration {
        let rule = &self.run.request.rule;
        match (rule.run, rule.event_gap) {
            (RunKind::ResumableStream, Some(gap)) if !self.waits => gap * SILENCE_GAPS,
            _ => rule.timeout,
        }
    }

    /// Ends the stream as the upstream did; bytes after the last event belong to it.
    fn end(&mut self) -> Option<Result<Bytes, BoxError>> {
        let answer = self.answer.take()?;
        if !answer.facts.closes {
            answer.lease.give_back(answer.facts.keep_alive);
        }
        self.run.record.outcome = "answered";
        self.run.clear_breaks();
        let rest = self.splitter.take_partial();
        (!rest.is_empty()).then_some(Ok(rest))
    }

    /// Replaces the broken answer by one that goes on after the last event.
    async fn go_on(&mut self, reason: &str) -> Result<(), RelayRefusal> {
        self.drop_answer(reason);
        if self.begun && self.splitter.last_id().is_none() {
            return Err(RelayRefusal::not_run(RefusalReason::UpstreamFailed));
        }
        let upstream = self.run.next_upstream(&broken_off())?;
        self.resume_at(upstream).await
    }

    /// Leaves a silent upstream if the stream can go on elsewhere, and waits for it otherwise: an
    /// answer that still runs isn't given up for nothing.
    async fn leave_silent(&mut self) -> Result<(), RelayRefusal> {
        let resumable = !self.begun || self.splitter.last_id().is_some();
        let next = resumable.then(|| self.run.next_upstream(&broken_off()));
        match next {
            Some(Ok(upstream)) => {
                self.drop_answer("it is silent");
                self.resume_at(upstream).await
            }
            Some(Err(_)) | None => {
                self.waits = true;
                Ok(())
            }
        }
    }

    /// Lets go of the answer, whose upstream broke off or hangs.
    fn drop_answer(&mut self, reason: &str) {
        spdlog::info!("stream broke off", kv: {
            request_id = self.run.request.id.as_str(),
            upstream = self.run.record.upstream.as_str(),
            reason = reason,
            last_event = self.splitter.last_id().map_or(-1, |id| id as i64),
        });
        self.splitter.take_partial();
        if let Some(answer) = self.answer.take() {
            answer.upstream.mark_suspect(self.run.core.clock.now());
            self.run.note_answer(&answer.upstream, None);
            self.run.note_break(&answer.upstream);
        }
    }

    async fn resume_at(&mut self, upstream: Arc<RelayUpstream>) -> Result<(), RelayRefusal> {
        let until = self.run.request.final_time;
        let last_event = self.splitter.last_id();
        let resumed = timeout_at(until, self.run.resume(last_event, upstream)).await;
        let refusal = RelayRefusal::not_run(RefusalReason::DeadlinePassed);
        self.answer = Some(resumed.unwrap_or(Err(refusal))?);
        Ok(())
    }

    /// Ends the stream visibly broken.
    fn break_off(&mut self, refusal: RelayRefusal) -> BoxError {
        self.answer = None;
        self.run.record.outcome = "broken_off";
        refusal.reason.into()
    }
}

fn broken_off() -> SendFailure {
    SendFailure::plain(UpstreamFailure::BrokenInAnswer)
}
