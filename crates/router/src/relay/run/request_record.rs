//! Record of one request, written as a log line and metrics when the request ends.

use std::ops::Range;
use std::time::Duration;

use ferry_decisions::cascade::StartChoice;
use ferry_decisions::retry::RunState;
use tokio::time::Instant;

use crate::relay::ClassRequest;
use crate::relay::request::{RelayRefusal, RelayRequest};
use crate::relay::workload::CountedDemand;

/// HTTP statuses of answers that count as work that was done; errors of the request take nearly none.
const SUCCESS_STATUSES: Range<u16> = 200..300;

/// Facts collected while a request is answered; logged and counted when the record is dropped.
#[derive(Debug)]
pub struct RequestRecord {
    id: String,
    workspace: String,
    rule: String,
    kind: &'static str,
    session: String,
    revision: u64,
    arrived_at: Instant,
    /// Time between the arrival of the request and its reading.
    read_after: Duration,
    /// Time between the arrival of the request and its first send.
    sent_after: Option<Duration>,
    /// Number of times that the request was sent to an upstream.
    pub sends: u32,
    /// Upstream that the request was last sent to.
    pub upstream: String,
    /// Model that the router chose last; empty where it chose none.
    pub model: String,
    /// Stage of the cascade at which the request starts, and why; absent where the router chooses no model.
    pub start: Option<StartChoice>,
    /// Confidence reported with the last answer, 0 to 100.
    pub confidence: Option<u8>,
    /// HTTP status sent to the caller; 0 when the caller disconnected before.
    pub status: u16,
    /// Outcome of the request, as named in logs and metrics.
    pub outcome: &'static str,
    /// Whether the request ran, as far as it was known when the request was refused.
    pub run: RunState,
    /// Demand that the request was counted as.
    pub demand: Option<CountedDemand>,
    /// Milliseconds from the arrival of the request to the head of its answer.
    first_ms: Option<u64>,
    /// Number of pieces of a stream that were forwarded; one piece may hold several events.
    pieces: u32,
    /// Whether the record is not logged and not counted, as no request was made.
    pub is_explained: bool,
    /// Counts the request in the metrics of its class; absent until it is begun.
    pub class: Option<ClassRequest>,
    /// When the last of them was forwarded.
    last_piece_at: Option<Instant>,
    /// Longest pause between two of them.
    longest_gap: Duration,
}

impl RequestRecord {
    /// The record of a request that has just been read; its outcome is that the caller left, until another is set.
    pub fn new(request: &RelayRequest) -> Self {
        let workspace = request.workspace().map(ToString::to_string);
        Self {
            id: request.id.clone(),
            workspace: workspace.unwrap_or_default(),
            rule: request.rule.name.to_string(),
            kind: request.rule.run.as_str(),
            session: request.facts.session.clone().unwrap_or_default(),
            revision: request.revision,
            arrived_at: request.arrived_at,
            read_after: request.read_at - request.arrived_at,
            sent_after: None,
            sends: 0,
            upstream: String::new(),
            model: String::new(),
            start: None,
            confidence: None,
            status: 0,
            outcome: "caller_gone",
            run: RunState::NotRun,
            demand: None,
            first_ms: None,
            pieces: 0,
            is_explained: false,
            class: None,
            last_piece_at: None,
            longest_gap: Duration::ZERO,
        }
    }

    /// Records that the request is sent to `upstream`.
    pub fn record_send(&mut self, upstream: &str) {
        self.sends += 1;
        self.upstream = upstream.to_owned();
        if self.sent_after.is_none() {
            let elapsed = self.arrived_at.elapsed();
            self.sent_after = Some(elapsed);
            metrics::histogram!("ferry_relay_send_delay_seconds").record(elapsed.as_secs_f64());
        }
    }

    /// Records that the request gets `refusal` in place of an answer.
    pub fn record_refusal(&mut self, refusal: &RelayRefusal) {
        self.status = refusal.status().as_u16();
        self.outcome = refusal.reason.name();
        self.run = refusal.run;
        if let Some(class) = &self.class {
            class.record_rejection(self.outcome);
        }
    }

    /// Records that a piece of a stream is forwarded.
    pub fn record_piece(&mut self) {
        let now = Instant::now();
        if let Some(last) = self.last_piece_at {
            self.longest_gap = self.longest_gap.max(now - last);
        }
        self.last_piece_at = Some(now);
        self.pieces += 1;
    }

    /// Records the time to the head of the answer.
    pub fn record_head(&mut self) {
        let elapsed = self.arrived_at.elapsed();
        self.first_ms = Some(elapsed.as_millis() as u64);
        metrics::histogram!("ferry_relay_first_seconds", "rule" => self.rule.clone(), "workspace" => self.workspace.clone())
            .record(elapsed.as_secs_f64());
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        if self.is_explained {
            return;
        }
        let is_answered = self.outcome == "answered" && SUCCESS_STATUSES.contains(&self.status);
        if let Some(demand) = self.demand.take().filter(|_| is_answered) {
            demand.record_answered();
        }
        metrics::counter!("ferry_relay_requests_total", "kind" => self.kind, "workspace" => self.workspace.clone(), "outcome" => self.outcome)
            .increment(1);
        spdlog::info!("request", kv: {
            request_id = self.id.as_str(),
            workspace = self.workspace.as_str(),
            rule = self.rule.as_str(),
            session = self.session.as_str(),
            revision = self.revision,
            sends = self.sends,
            upstream = self.upstream.as_str(),
            model = self.model.as_str(),
            start_stage = self.start.map_or(-1, |start| start.stage as i64),
            start_reason = self.start.map_or("", |start| start.reason.as_str()),
            confidence = self.confidence.map_or(-1, i32::from),
            status = self.status,
            outcome = self.outcome,
            run:? = self.run,
            read_after_ms = self.read_after.as_millis() as u64,
            sent_after_ms = self.sent_after.unwrap_or_default().as_millis() as u64,
            first_ms = self.first_ms.unwrap_or_default(),
            pieces = self.pieces,
            longest_gap_ms = self.longest_gap.as_millis() as u64,
            total_ms = self.arrived_at.elapsed().as_millis() as u64,
        });
    }
}
