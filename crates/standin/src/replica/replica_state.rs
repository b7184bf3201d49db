//! Answers of an upstream.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ferry_kernel::http::{BoxError, HttpBody, collect_limited, dropped_connection, full, streamed};
use ferry_platform::headers::{AnswerHeaders, BoundRequest, LoadFacts};
use futures::stream;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use parking_lot::Mutex;
use tokio::time::Instant;

use super::{ReplicaRun, RunEnd};

/// Largest body of a request, in bytes.
const BODY_LIMIT: usize = 16 * 1024 * 1024;

/// What an upstream is.
#[derive(Debug, Clone)]
pub struct ReplicaOptions {
    /// Identifier.
    pub id: String,
    /// Service.
    pub service: String,
    /// Version of its software.
    pub version: String,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// How an upstream answers.
#[derive(Debug, Clone)]
pub struct ReplicaPlan {
    /// Time before the head of an answer.
    pub wait: Duration,
    /// Events of an answer; 0 makes it whole.
    pub events: u64,
    /// Pause between two events.
    pub gap: Duration,
    /// Event after which the connection breaks, in the middle of the next one; a whole answer breaks
    /// off before its head.
    pub break_after: Option<u64>,
    /// Status of answers.
    pub status: StatusCode,
    /// Whether requests are refused unrun, as a full upstream does.
    pub full: bool,
    /// Opinion of its answers.
    pub confidence: Option<u8>,
    /// Whether answers carry another attempt's identifier.
    pub wrong_attempt: bool,
}

impl Default for ReplicaPlan {
    fn default() -> Self {
        Self {
            wait: Duration::ZERO,
            events: 0,
            gap: Duration::ZERO,
            break_after: None,
            status: StatusCode::OK,
            full: false,
            confidence: None,
            wrong_attempt: false,
        }
    }
}

/// State of an upstream.
#[derive(Debug)]
pub(crate) struct ReplicaState {
    options: ReplicaOptions,
    plan: Mutex<ReplicaPlan>,
    runs: Arc<Mutex<Vec<ReplicaRun>>>,
}

/// Notes that a run was abandoned unless it is finished first.
struct RunWatch {
    runs: Arc<Mutex<Vec<ReplicaRun>>>,
    index: usize,
}

impl ReplicaState {
    pub(super) fn new(options: ReplicaOptions) -> Self {
        Self {
            options,
            plan: Mutex::default(),
            runs: Arc::default(),
        }
    }

    pub(super) fn options(&self) -> &ReplicaOptions {
        &self.options
    }

    pub(super) fn set_plan(&self, plan: ReplicaPlan) {
        *self.plan.lock() = plan;
    }

    pub(super) fn runs(&self) -> Vec<ReplicaRun> {
        self.runs.lock().clone()
    }

    /// Answers a request of the published protocol.
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Response<HttpBody> {
        let (head, body) = request.into_parts();
        let bound = BoundRequest::read(&head.headers);
        let target = format!("{} {}", head.method, head.uri);
        let Ok(body) = collect_limited(body, BODY_LIMIT).await else {
            return self.refuse(&bound, StatusCode::BAD_REQUEST);
        };
        let plan = self.plan.lock().clone();
        let misdirected = bound.bound_to.as_deref() != Some(self.options.id.as_str());
        let end = match misdirected || plan.full {
            true => RunEnd::Refused,
            false => RunEnd::Running,
        };
        let watch = self.note(ReplicaRun {
            request: bound.clone(),
            target,
            body,
            at: Instant::now(),
            end,
        });
        match (misdirected, plan.full) {
            (true, _) => return self.refuse(&bound, StatusCode::MISDIRECTED_REQUEST),
            (false, true) => return self.refuse(&bound, StatusCode::SERVICE_UNAVAILABLE),
            (false, false) => {}
        }
        tokio::time::sleep(plan.wait).await;
        if plan.events == 0 && plan.break_after.is_some() {
            return dropped_connection();
        }
        self.run(&bound, &plan, watch)
    }

    fn note(&self, run: ReplicaRun) -> RunWatch {
        let mut runs = self.runs.lock();
        runs.push(run);
        RunWatch {
            runs: Arc::clone(&self.runs),
            index: runs.len() - 1,
        }
    }

    fn refuse(&self, bound: &BoundRequest, status: StatusCode) -> Response<HttpBody> {
        let mut response = Response::new(full("refused"));
        *response.status_mut() = status;
        let marks = AnswerHeaders {
            not_run: true,
            ..self.marks(bound)
        };
        marks.write(response.headers_mut());
        response
    }

    fn run(&self, bound: &BoundRequest, plan: &ReplicaPlan, watch: RunWatch) -> Response<HttpBody> {
        let body = match plan.events {
            0 => {
                watch.finish();
                full(format!("{} answers {}", self.options.id, bound.attempt_id))
            }
            _ => events(plan.clone(), bound.last_event.unwrap_or(0), watch),
        };
        let mut response = Response::new(body);
        *response.status_mut() = plan.status;
        let mut marks = self.marks(bound);
        marks.signature = Some(format!("signed-by-{}", self.options.id));
        marks.confidence = plan.confidence;
        if plan.wrong_attempt {
            marks.attempt_id.push('x');
        }
        marks.write(response.headers_mut());
        response
    }

    fn marks(&self, bound: &BoundRequest) -> AnswerHeaders {
        AnswerHeaders {
            attempt_id: bound.attempt_id.clone(),
            load: Some(LoadFacts {
                running: 0,
                waiting: 0,
                slots: self.options.slots,
            }),
            ..AnswerHeaders::default()
        }
    }
}

impl RunWatch {
    fn finish(&self) {
        self.runs.lock()[self.index].end = RunEnd::Finished;
    }
}

impl Drop for RunWatch {
    fn drop(&mut self) {
        let run = &mut self.runs.lock()[self.index];
        if run.end == RunEnd::Running {
            run.end = RunEnd::Abandoned;
        }
    }
}

/// The events after `last`, with a break where it is planned.
fn events(plan: ReplicaPlan, last: u64, watch: RunWatch) -> HttpBody {
    streamed(stream::unfold((last, watch), move |(last, watch)| {
        let plan = plan.clone();
        async move {
            if last >= plan.events {
                watch.finish();
                return None;
            }
            let next = last + 1;
            tokio::time::sleep(plan.gap).await;
            let event: Result<Bytes, BoxError> = match plan.break_after {
                Some(end) if next == end + 1 => Ok(Bytes::from(format!("id: {next}\ndata: p"))),
                Some(end) if last > end => {
                    watch.finish();
                    Err("broken off as planned".into())
                }
                _ => Ok(Bytes::from(format!("id: {next}\ndata: part {next}\n\n"))),
            };
            Some((event, (next, watch)))
        }
    }))
}
