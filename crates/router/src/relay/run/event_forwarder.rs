//! Forwards the events of a stream, and resumes it at another upstream when its upstream breaks off.

use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::ends::{AnswerEnd, EndPlace, EndVerdict};
use ferry_decisions::quarantine::AnswerProof;
use ferry_decisions::retry::{SilencePatience, StreamPause, UpstreamFailure};
use ferry_decisions::ruleset::RunKind;
use ferry_kernel::http::{BodyFraming, BoxError, EventSplitter};
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout_at};

use super::RelayRun;
use super::end_judgement::{EndedAnswer, end_mark};
use super::planned_send::PlannedSend;
use super::upstream_send::{SendFailure, UpstreamAnswer};
use crate::relay::paths::record_lost_path;
use crate::relay::request::{RefusalReason, RelayRefusal};
use crate::relay::rollouts::AnswerSign;
use crate::relay::upstreams::RelayUpstream;

/// Number of pieces of a stream by which its pace is rated.
const PACE_PIECES: u32 = 12;
/// Minimum number of pieces by which the pace of a shorter stream is rated at its end.
const MIN_PACE_PIECES: u32 = 4;
/// Time from the first event of an answer after which its upstream has most likely survived the beginning.
const SURVIVAL_TIME: Duration = Duration::from_secs(1);
/// Lateness of a timer from which this process was suspended or starved meanwhile.
const LATE_TIMER: Duration = Duration::from_millis(20);
/// Time in which events that arrived during a suspension are read.
const CATCH_UP_TIME: Duration = Duration::from_millis(100);

/// Forwards one stream of events to the caller.
pub struct EventForwarder {
    run: RelayRun,
    /// Answer being read; absent once the stream has ended or broken off.
    answer: Option<UpstreamAnswer>,
    /// Framing of the caller's answer, which is that of the first upstream's answer.
    framing: BodyFraming,
    splitter: EventSplitter,
    /// Whether the caller has been sent an event.
    has_sent_events: bool,
    /// When the first event of the answer being read arrived.
    began_at: Option<Instant>,
    /// Whether the survival of that answer's upstream has been recorded.
    has_survived: bool,
    /// Number of pieces of that answer; one piece may hold several events.
    pieces: u32,
    /// When the last of them arrived.
    last_piece_at: Option<Instant>,
    /// What is done about a silent upstream.
    patience: SilencePatience,
}

/// Result of reading from the upstream.
enum ForwardStep {
    Events(Bytes),
    End,
    /// An end that doesn't prove that the stream is complete, and mustn't look as if it did.
    UnprovenEnd,
    Broken(String),
    /// The upstream completed no event for this time, which was its `silence_limit`.
    Silent(Duration),
}

impl EventForwarder {
    /// A forwarder that starts at the beginning of `answer`.
    pub fn new(run: RelayRun, answer: UpstreamAnswer) -> Self {
        Self {
            run,
            framing: answer.framing,
            answer: Some(answer),
            splitter: EventSplitter::default(),
            has_sent_events: false,
            began_at: None,
            has_survived: false,
            pieces: 0,
            last_piece_at: None,
            patience: SilencePatience::Short,
        }
    }

    /// The next complete events, or `None` after the end of the stream.
    ///
    /// # Errors
    ///
    /// An error aborts the caller's connection, so that the answer does not look complete.
    pub async fn next(&mut self) -> Option<Result<Bytes, BoxError>> {
        let until = self.run.request.answer_deadline;
        loop {
            let core = self.run.core.clone();
            let step = match core.work_end.run_until(until, self.step()).await {
                Ok(step) => step?,
                Err(reason) => return Some(Err(self.abort_stream(reason))),
            };
            let recovered = match step {
                ForwardStep::Events(events) => {
                    self.has_sent_events = true;
                    self.run.record.record_piece();
                    if let Some(answer) = &self.answer {
                        self.run.record_life(&answer.upstream, &answer.lease);
                    }
                    self.record_survival();
                    self.count_piece();
                    return Some(Ok(events));
                }
                ForwardStep::End => return self.end(),
                ForwardStep::UnprovenEnd => self.complete_elsewhere().await,
                ForwardStep::Silent(silence) => self.handle_silence(silence).await,
                ForwardStep::Broken(reason) => self.resume_elsewhere(&reason).await,
            };
            if let Err(refusal) = recovered {
                return Some(Err(self.abort_stream(refusal.reason)));
            }
        }
    }

    /// Reads until at least one event is complete; `None` once no answer is left to read.
    async fn step(&mut self) -> Option<ForwardStep> {
        // Bytes of an event that does not end are no sign of progress.
        let limit = self.silence_limit();
        let mut silent_at = Instant::now() + limit;
        let mut has_caught_up = false;
        let answer = self.answer.as_mut()?;
        loop {
            let Ok(frame) = timeout_at(silent_at, answer.body.frame()).await else {
                if silent_at.elapsed() >= LATE_TIMER && !has_caught_up {
                    has_caught_up = true;
                    // The upstream's events may wait in the socket; it is not silent because nobody read them.
                    silent_at = Instant::now() + CATCH_UP_TIME;
                    continue;
                }
                return Some(ForwardStep::Silent(limit));
            };
            let frame = match frame {
                None => return Some(self.judge_end().await),
                Some(Err(error)) => return Some(ForwardStep::Broken(error.to_string())),
                Some(Ok(frame)) => frame,
            };
            answer.silence.record_piece();
            let Ok(data) = frame.into_data() else {
                continue;
            };
            match self.splitter.push(&data) {
                Ok(events) if events.is_empty() => {}
                Ok(events) => return Some(ForwardStep::Events(events)),
                Err(error) => return Some(ForwardStep::Broken(error.to_string())),
            }
        }
    }

    /// Records that an upstream goes on with an answer that it began a while ago.
    fn record_survival(&mut self) {
        let since = *self.began_at.get_or_insert_with(Instant::now);
        if !self.has_survived && since.elapsed() >= SURVIVAL_TIME {
            self.has_survived = true;
            self.run.record_part_answers(AnswerProof::Unproven);
        }
    }

    /// Counts a piece; the mean pause between the first ones tells sooner than the end of the stream.
    fn count_piece(&mut self) {
        self.pieces += 1;
        self.last_piece_at = Some(Instant::now());
        if let Some(answer) = &self.answer {
            answer.in_flight.record_event();
        }
        if self.pieces == PACE_PIECES
            && let Some(answer) = &self.answer
        {
            self.record_pace(&answer.upstream);
        }
    }

    fn record_pace(&self, upstream: &RelayUpstream) {
        if let (Some(first), Some(last)) = (self.began_at, self.last_piece_at) {
            let pause = (last - first) / (self.pieces - 1);
            self.run.record_sign(upstream, AnswerSign::Pace(pause));
        }
    }

    /// What the end of the body means: the end of the stream, or a break.
    async fn judge_end(&self) -> ForwardStep {
        let Some(answer) = &self.answer else {
            return ForwardStep::End;
        };
        let ended = EndedAnswer {
            end: AnswerEnd {
                mark: end_mark(answer.framing),
                place: self.end_place(answer),
            },
            upstream: &answer.upstream,
            detour: answer.lease.detour(),
            silence: &answer.silence,
            pieces: self.pieces,
        };
        match self.run.judge_end(&ended).await {
            EndVerdict::Broken => ForwardStep::Broken(ended.end.place.break_reason().to_owned()),
            EndVerdict::Unproven => ForwardStep::UnprovenEnd,
            // Nobody can vouch for the end of an answer that its upstream did not mark.
            EndVerdict::Whole if answer.framing != self.framing => match self.framing {
                BodyFraming::Delimited => ForwardStep::UnprovenEnd,
                BodyFraming::UntilClose => ForwardStep::End,
            },
            EndVerdict::Whole => ForwardStep::End,
        }
    }

    fn end_place(&self, answer: &UpstreamAnswer) -> EndPlace {
        match answer.body_type().may_be_events() {
            true if self.splitter.is_inside_event() => EndPlace::InsideEvent,
            true if !self.has_sent_events => EndPlace::BeforeEvents,
            _ => EndPlace::Boundary,
        }
    }

    fn stream_pause(&self) -> StreamPause {
        let rule = &self.run.request.rule;
        StreamPause {
            event_gap: rule.event_gap,
            is_resumable: rule.run == RunKind::ResumableStream,
            timeout: rule.timeout,
        }
    }

    /// Time without a complete event after which the upstream counts as silent.
    fn silence_limit(&self) -> Duration {
        let time_left = self.run.time_left();
        self.stream_pause().limit(self.patience, time_left)
    }

    /// Ends the stream as the upstream did, forwarding any bytes after the last complete event.
    fn end(&mut self) -> Option<Result<Bytes, BoxError>> {
        let answer = self.answer.take()?;
        if (MIN_PACE_PIECES..PACE_PIECES).contains(&self.pieces) {
            self.record_pace(&answer.upstream);
        }
        answer.in_flight.record_end();
        self.run.record.outcome = "answered";
        // An answer without events, such as one that resumes after the last event, began nothing and proves nothing.
        if self.pieces > 0 {
            self.run
                .record_completion(&answer.upstream, answer.head.status, answer.framing);
        }
        if answer.keeps_link() {
            answer.lease.give_back(answer.facts.keep_alive);
        }
        let rest = self.splitter.take_partial();
        (!rest.is_empty()).then_some(Ok(rest))
    }

    /// Replaces the broken answer by one that resumes after the last event.
    ///
    /// # Errors
    ///
    /// Fails when events without identifiers have been sent to the caller, or no upstream can resume the stream.
    async fn resume_elsewhere(&mut self, reason: &str) -> Result<(), RelayRefusal> {
        self.discard_answer(reason);
        self.resume().await
    }

    /// Asks another upstream for the events that may be missing; the upstream that sent the others is not to blame.
    ///
    /// # Errors
    ///
    /// As [`Self::resume_elsewhere`].
    async fn complete_elsewhere(&mut self) -> Result<(), RelayRefusal> {
        self.answer = None;
        self.resume().await
    }

    async fn resume(&mut self) -> Result<(), RelayRefusal> {
        if self.has_sent_events && self.splitter.last_id().is_none() {
            return Err(RelayRefusal::not_run(RefusalReason::UpstreamFailed));
        }
        let planned = self.run.next_send(&stream_failure()).await?;
        self.resume_by(planned).await
    }

    /// Resumes the stream elsewhere if possible, and keeps waiting for the silent upstream otherwise, since
    /// its answer may still complete.
    async fn handle_silence(&mut self, silence: Duration) -> Result<(), RelayRefusal> {
        let pause = self.stream_pause();
        let is_hanging = pause.is_hanging(silence);
        let resumable = !self.has_sent_events || self.splitter.last_id().is_some();
        let next = match resumable {
            true => Some(self.run.next_send(&stream_failure()).await),
            false => None,
        };
        match next {
            Some(Ok(planned)) if is_hanging => {
                self.discard_answer("the upstream is silent");
                self.resume_by(planned).await
            }
            Some(Ok(planned)) => {
                self.leave_pausing_upstream();
                self.resume_by(planned).await
            }
            Some(Err(_)) | None => {
                self.patience = pause.longer_patience(silence);
                Ok(())
            }
        }
    }

    /// Drops the answer of an upstream that is only too slow for the time left, which is nothing against it.
    fn leave_pausing_upstream(&mut self) {
        spdlog::info!("stream goes on at another upstream, since this one pauses", kv: {
            request_id = self.run.request.id.as_str(),
            upstream = self.run.record.upstream.as_str(),
            time_left_ms = self.run.time_left().as_millis() as u64,
            last_event = self.splitter.last_id().map_or(-1, |id| id as i64),
        });
        self.splitter.take_partial();
        self.answer = None;
    }

    /// Drops the answer, marks its upstream as suspect, and counts the failure against upstream and version.
    fn discard_answer(&mut self, reason: &str) {
        spdlog::info!("stream broke off", kv: {
            request_id = self.run.request.id.as_str(),
            upstream = self.run.record.upstream.as_str(),
            reason = reason,
            last_event = self.splitter.last_id().map_or(-1, |id| id as i64),
        });
        self.splitter.take_partial();
        let answer = self.answer.take();
        let Some(answer) = answer else {
            return;
        };
        let lease = &answer.lease;
        if lease.is_tunnel_lost() {
            record_lost_path(&self.run.core, &answer.upstream, lease.detour());
        } else {
            answer.upstream.mark_suspect(self.run.core.clock.now());
            self.run.record_version_failure(&answer.upstream);
            self.run.record_crash(&answer.upstream, lease.detour());
        }
    }

    async fn resume_by(&mut self, planned: PlannedSend) -> Result<(), RelayRefusal> {
        let until = self.run.request.answer_deadline;
        let last_event = self.splitter.last_id();
        let core = self.run.core.clone();
        let resuming = self.run.resume(last_event, planned);
        let resumed = core.work_end.run_until(until, resuming).await;
        self.answer = Some(resumed.map_err(RelayRefusal::not_run)??);
        self.began_at = None;
        self.has_survived = false;
        self.pieces = 0;
        self.patience = SilencePatience::Short;
        Ok(())
    }

    /// Ends the stream with an error, so that the caller sees that it is incomplete.
    fn abort_stream(&mut self, reason: RefusalReason) -> BoxError {
        self.answer = None;
        self.run.record.outcome = "broken_off";
        reason.into()
    }
}

fn stream_failure() -> SendFailure {
    SendFailure::without_answer(UpstreamFailure::BrokenInAnswer)
}
