//! Request handling of an upstream.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ferry_kernel::http::{
    BodyFraming, BoxError, HttpBody, collect_limited, dropped_connection, full, streamed,
};
use ferry_platform::headers::{AnswerHeaders, BoundRequest, LoadFacts};
use futures::stream;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{HeaderMap, Request, Response, StatusCode};
use parking_lot::Mutex;
use tokio::time::Instant;

use super::{ReplicaRun, RunStatus};

/// Maximum size of a request body, in bytes.
const BODY_LIMIT: usize = 16 * 1024 * 1024;

/// Path of an upstream stand-in's health check.
pub const HEALTH_PATH: &str = "/healthz";

/// Availability zone of an upstream stand-in unless another one is given.
pub const DEFAULT_ZONE: &str = "zone-a";

/// Configuration of an upstream stand-in.
#[derive(Debug, Clone)]
pub struct ReplicaOptions {
    /// Identifier of the upstream.
    pub id: String,
    /// Service that the upstream belongs to.
    pub service: String,
    /// Availability zone of the upstream.
    pub zone: String,
    /// Software version of the upstream.
    pub version: String,
    /// Concurrent requests that the upstream reports as its limit; the stand-in does not enforce
    /// it.
    pub slots: u32,
}

/// How an upstream answers requests.
#[derive(Debug, Clone)]
pub struct ReplicaPlan {
    /// Delay before the head of an answer.
    pub wait: Duration,
    /// Model whose answers have a delay of their own before the head, and that delay.
    pub slow_model: Option<(&'static str, Duration)>,
    /// Number of events in an answer; 0 for a whole body instead of a stream of events.
    pub events: u64,
    /// Pause between two events.
    pub gap: Duration,
    /// Number of an event after which a stream pauses, and for how long; a stream that resumes after that event doesn't.
    pub pause_after: Option<(u64, Duration)>,
    /// Number of the event after which the connection breaks, in the middle of the next event; a
    /// whole answer breaks before its head, or in its middle if its end is not marked.
    pub break_after: Option<u64>,
    /// Whether a stream breaks between two events instead.
    pub breaks_between_events: bool,
    /// How the end of an answer is marked; without a mark, a broken answer ends with FIN like a complete one.
    pub framing: BodyFraming,
    /// HTTP status of answers.
    pub status: StatusCode,
    /// Whether requests are refused without running, as by an upstream at its limit.
    pub full: bool,
    /// Time for which refusals of a full upstream ask for no requests.
    pub pause: Option<Duration>,
    /// Delay before a refusal; a request whose connection closes meanwhile counts as refused all the same.
    pub refusal_wait: Duration,
    /// Requests per second that all answers name as the upstream's limit, if any; the stand-in does not enforce it.
    pub limit: Option<f64>,
    /// Rejections per second that all answers name as what the upstream survives, if any; the stand-in does not break down.
    pub rejections: Option<u32>,
    /// Number of requests that run at most; more are refused like by a full upstream.
    pub room: Option<usize>,
    /// Whether all answers say that the upstream is leaving.
    pub leaves: bool,
    /// Time for which the upstream is cold from the plan on, as its entries and all answers state it; it serves as usual meanwhile.
    pub cold: Option<Duration>,
    /// How long work takes on the upstream's machine, in percent of the usual time, as all answers state it, if they do.
    pub contention: Option<u32>,
    /// Whether all answers state the number of requests that run, with `room` as the slots; otherwise they state none.
    pub states_running: bool,
    /// Confidence that answers state, if any.
    pub confidence: Option<u8>,
    /// Whether answers carry the identifier of another attempt.
    pub wrong_attempt: bool,
    /// Models that requests may name; another one is refused as misdirected. Any if empty.
    pub models: Vec<String>,
    /// Headers of all answers besides the usual ones, each in place of one of the same name.
    pub headers: Vec<(HeaderName, HeaderValue)>,
}

impl Default for ReplicaPlan {
    fn default() -> Self {
        Self {
            wait: Duration::ZERO,
            slow_model: None,
            events: 0,
            gap: Duration::ZERO,
            pause_after: None,
            break_after: None,
            breaks_between_events: false,
            framing: BodyFraming::Delimited,
            status: StatusCode::OK,
            full: false,
            pause: None,
            refusal_wait: Duration::ZERO,
            limit: None,
            rejections: None,
            room: None,
            leaves: false,
            cold: None,
            contention: None,
            states_running: false,
            confidence: None,
            wrong_attempt: false,
            models: Vec::new(),
            headers: Vec::new(),
        }
    }
}

impl ReplicaPlan {
    /// Delay before the head of an answer of `model`, besides that of all answers.
    fn model_wait(&self, model: Option<&str>) -> Duration {
        let slow = self.slow_model.filter(|(slow, _)| model == Some(slow));
        slow.map_or(Duration::ZERO, |(_, wait)| wait)
    }

    /// Adds the plan's own headers to those of an answer.
    fn write_headers(&self, headers: &mut HeaderMap) {
        for (name, value) in &self.headers {
            headers.insert(name, value.clone());
        }
    }

    /// Whether the upstream has the model that `request` names, if it names one.
    fn knows(&self, request: &BoundRequest) -> bool {
        let named = request.model.as_ref();
        self.models.is_empty() || named.is_none_or(|model| self.models.contains(model))
    }
}

/// State shared by the requests of an upstream.
#[derive(Debug)]
pub(crate) struct ReplicaState {
    options: ReplicaOptions,
    plan: Mutex<ReplicaPlan>,
    planned_at: Mutex<Instant>,
    runs: Arc<Mutex<Vec<ReplicaRun>>>,
}

/// Marks a run as abandoned when dropped, unless the run has ended.
struct RunGuard {
    runs: Arc<Mutex<Vec<ReplicaRun>>>,
    index: usize,
}

impl ReplicaState {
    pub(super) fn new(options: ReplicaOptions) -> Self {
        Self {
            options,
            plan: Mutex::default(),
            planned_at: Mutex::new(Instant::now()),
            runs: Arc::default(),
        }
    }

    pub(super) fn options(&self) -> &ReplicaOptions {
        &self.options
    }

    pub(super) fn set_plan(&self, plan: ReplicaPlan) {
        *self.plan.lock() = plan;
        *self.planned_at.lock() = Instant::now();
    }

    /// Time for which the upstream is still cold.
    pub(super) fn cold_left(&self) -> Duration {
        let cold = self.plan.lock().cold.unwrap_or_default();
        cold.saturating_sub(self.planned_at.lock().elapsed())
    }

    pub(super) fn runs(&self) -> Vec<ReplicaRun> {
        self.runs.lock().clone()
    }

    /// Answers a request of the published protocol.
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Response<HttpBody> {
        let (head, body) = request.into_parts();
        let bound = BoundRequest::read(&head.headers);
        if head.uri.path() == HEALTH_PATH {
            return self.answer_health_check(&bound);
        }
        let target = format!("{} {}", head.method, head.uri);
        let Ok(body) = collect_limited(body, BODY_LIMIT).await else {
            let plan = self.plan.lock().clone();
            return self.refuse(&bound, StatusCode::BAD_REQUEST, None, &plan);
        };
        let plan = self.plan.lock().clone();
        let is_misdirected =
            bound.bound_to.as_deref() != Some(self.options.id.as_str()) || !plan.knows(&bound);
        let is_full = plan.full || plan.room.is_some_and(|room| self.running() >= room);
        let status = match is_misdirected || is_full {
            true => RunStatus::Refused,
            false => RunStatus::Running,
        };
        let guard = self.record_run(ReplicaRun {
            request: bound.clone(),
            target,
            body,
            at: Instant::now(),
            status,
            pause: plan.pause.filter(|_| is_full && !is_misdirected),
        });
        match (is_misdirected, is_full) {
            (true, _) => {
                return self.refuse(&bound, StatusCode::MISDIRECTED_REQUEST, None, &plan);
            }
            (false, true) => {
                tokio::time::sleep(plan.refusal_wait).await;
                return self.refuse(&bound, StatusCode::SERVICE_UNAVAILABLE, plan.pause, &plan);
            }
            (false, false) => {}
        }
        tokio::time::sleep(plan.wait + plan.model_wait(bound.model.as_deref())).await;
        let is_cut = plan.events == 0 && plan.break_after.is_some();
        if is_cut && plan.framing == BodyFraming::Delimited {
            return dropped_connection();
        }
        self.run(&bound, &plan, guard)
    }

    /// Answers a health check, which takes no slot here and is not recorded.
    fn answer_health_check(&self, bound: &BoundRequest) -> Response<HttpBody> {
        let plan = self.plan.lock().clone();
        let id = self.options.id.as_str();
        if bound.bound_to.as_deref().is_some_and(|named| named != id) {
            return self.refuse(bound, StatusCode::MISDIRECTED_REQUEST, None, &plan);
        }
        let mut response = Response::new(full("healthy"));
        let headers = AnswerHeaders {
            upstream_id: Some(id.to_owned()),
            ..self.answer_headers(bound, &plan)
        };
        headers.write(response.headers_mut());
        response
    }

    /// Number of requests that run.
    fn running(&self) -> usize {
        let runs = self.runs.lock();
        let running = runs.iter();
        running
            .filter(|run| run.status == RunStatus::Running)
            .count()
    }

    fn record_run(&self, run: ReplicaRun) -> RunGuard {
        let mut runs = self.runs.lock();
        runs.push(run);
        RunGuard {
            runs: Arc::clone(&self.runs),
            index: runs.len() - 1,
        }
    }

    fn refuse(
        &self,
        bound: &BoundRequest,
        status: StatusCode,
        pause: Option<Duration>,
        plan: &ReplicaPlan,
    ) -> Response<HttpBody> {
        let mut response = Response::new(full("refused"));
        *response.status_mut() = status;
        let headers = AnswerHeaders {
            not_run: true,
            pause,
            ..self.answer_headers(bound, plan)
        };
        headers.write(response.headers_mut());
        plan.write_headers(response.headers_mut());
        response
    }

    fn run(&self, bound: &BoundRequest, plan: &ReplicaPlan, guard: RunGuard) -> Response<HttpBody> {
        let (media_type, body) = match plan.events {
            0 => {
                guard.finish();
                let mut text = format!("{} answers {}", self.options.id, bound.attempt_id);
                if plan.break_after.is_some() {
                    text.truncate(text.len() / 2);
                }
                ("text/plain", full(text))
            }
            _ => {
                let last_event = bound.last_event.unwrap_or(0);
                ("text/event-stream", events(plan.clone(), last_event, guard))
            }
        };
        let mut response = Response::new(body);
        *response.status_mut() = plan.status;
        let media_type = HeaderValue::from_static(media_type);
        response.headers_mut().insert(CONTENT_TYPE, media_type);
        let mut headers = self.answer_headers(bound, plan);
        headers.signature = Some(format!("signed-by-{}", self.options.id));
        headers.confidence = plan.confidence;
        if plan.wrong_attempt {
            headers.attempt_id.push('x');
        }
        headers.write(response.headers_mut());
        plan.write_headers(response.headers_mut());
        plan.framing.apply(response)
    }

    fn load(&self, plan: &ReplicaPlan) -> LoadFacts {
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let (running, slots) = match plan.states_running {
            true => (self.running(), plan.room.map(count)),
            false => (0, None),
        };
        LoadFacts {
            running: count(running),
            waiting: 0,
            slots: slots.unwrap_or(self.options.slots),
            contention: plan.contention,
        }
    }

    fn answer_headers(&self, bound: &BoundRequest, plan: &ReplicaPlan) -> AnswerHeaders {
        AnswerHeaders {
            limit: plan.limit,
            rejections: plan.rejections,
            leaves: plan.leaves,
            cold: Some(self.cold_left()).filter(|left| !left.is_zero()),
            attempt_id: bound.attempt_id.clone(),
            load: Some(self.load(plan)),
            ..AnswerHeaders::default()
        }
    }
}

impl RunGuard {
    fn finish(&self) {
        self.runs.lock()[self.index].status = RunStatus::Finished;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let run = &mut self.runs.lock()[self.index];
        if run.status == RunStatus::Running {
            run.status = RunStatus::Abandoned;
        }
    }
}

/// Body with the events after number `resumed_after`, broken off where `plan` says so.
fn events(plan: ReplicaPlan, resumed_after: u64, guard: RunGuard) -> HttpBody {
    streamed(stream::unfold(
        (resumed_after, guard),
        move |(last, guard)| {
            let plan = plan.clone();
            async move {
                if last >= plan.events {
                    guard.finish();
                    return None;
                }
                let next = last + 1;
                tokio::time::sleep(plan.gap).await;
                let pauses = |event: u64| event == last && last != resumed_after;
                if let Some((_, pause)) = plan.pause_after.filter(|(event, _)| pauses(*event)) {
                    tokio::time::sleep(pause).await;
                }
                let event: Result<Bytes, BoxError> = match plan.break_after {
                    Some(end) if next == end + 1 && !plan.breaks_between_events => {
                        Ok(Bytes::from(format!("id: {next}\ndata: p")))
                    }
                    Some(end) if last >= end => {
                        guard.finish();
                        Err("broken off as planned".into())
                    }
                    _ => Ok(Bytes::from(format!("id: {next}\ndata: part {next}\n\n"))),
                };
                Some((event, (next, guard)))
            }
        },
    ))
}
