//! Calls of a service and the state that they share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use ferry_decisions::names::{HostName, RequestId, ServiceName};
use ferry_decisions::value_type;
use ferry_kernel::http::{HttpBody, json_response};
use ferry_platform::engine::{LoadReport, REQUEST_ID_HEADER};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use super::ServiceOptions;
use crate::counters::{RunCounters, RunEvent};
use crate::digest::body_digest;
use crate::engine::{LoadBoard, keep_board};
use crate::faults::FaultGate;
use crate::reply;

/// Largest body of a call, in bytes.
const BODY_LIMIT: usize = 16 * 1024 * 1024;

value_type! {
    /// What a service answers.
    pub struct ServiceEcho {
        /// Request id that the call carried, or one made for it.
        pub request_id: RequestId,
        /// Service that answers.
        pub service: ServiceName,
        /// Host that answers.
        pub host: HostName,
        /// Method of the call.
        pub method: String,
        /// Path of the call with its query.
        pub path: String,
        /// Digest of the call's body.
        pub digest: String,
        /// How often this request id ran here, this run included.
        pub runs: u64,
    }
}

/// State that the calls of one service share.
#[derive(Debug)]
pub(crate) struct ServiceState {
    options: ServiceOptions,
    gate: Arc<FaultGate>,
    board: Arc<LoadBoard>,
    counters: RunCounters,
    places: Semaphore,
    leaving: AtomicBool,
    stop: CancellationToken,
}

impl ServiceState {
    /// Creates the state and starts its background task.
    pub(crate) fn start(options: ServiceOptions, gate: Arc<FaultGate>) -> Arc<Self> {
        let first = LoadReport {
            batch_limit: options.call_limit as u32,
            ..LoadReport::default()
        };
        let state = Arc::new(Self {
            board: Arc::new(LoadBoard::new(options.load_lag, first)),
            places: Semaphore::new(options.call_limit),
            options,
            gate,
            counters: RunCounters::default(),
            leaving: AtomicBool::new(false),
            stop: CancellationToken::new(),
        });
        let sampled = state.clone();
        let boards = keep_board(state.board.clone(), state.gate.clone(), move || {
            sampled.sample()
        });
        tokio::spawn(state.stop.clone().run_until_cancelled_owned(boards));
        state
    }

    /// What ran.
    pub(crate) fn counters(&self) -> &RunCounters {
        &self.counters
    }

    /// Refuses new work from now on.
    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Ends the background task.
    pub(crate) fn stop(&self) {
        self.stop.cancel();
    }

    /// Answers a call of the service.
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Response<HttpBody> {
        if request.method() == Method::GET && request.uri().path() == "/load" {
            return json_response(StatusCode::OK, &self.board.report());
        }
        let id = reply::header_text(request.headers(), REQUEST_ID_HEADER)
            .map_or_else(RequestId::generate, RequestId::new);
        let (parts, body) = request.into_parts();
        let body = match reply::read_body(body, BODY_LIMIT).await {
            Ok(body) => body,
            Err(refusal) => return self.refuse(&id, *refusal),
        };
        if self.is_leaving() {
            let message = "the service is leaving; send the call to another host";
            let refusal = reply::retry_later(StatusCode::SERVICE_UNAVAILABLE, message);
            return self.refuse(&id, refusal);
        }
        let Ok(_place) = self.places.try_acquire() else {
            let message = "the service is full; send the call again later";
            let refusal = reply::retry_later(StatusCode::TOO_MANY_REQUESTS, message);
            return self.refuse(&id, refusal);
        };
        self.run(id, &parts, &body).await
    }

    /// Answers a call below `/standin/`.
    pub(crate) fn answer_control(&self, request: &Request<Incoming>) -> Response<HttpBody> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/standin/counters") => {
                json_response(StatusCode::OK, &self.counters.report())
            }
            _ => reply::error(
                StatusCode::NOT_FOUND,
                "there is no such call; services take fault orders and show counters",
            ),
        }
    }

    async fn run(
        &self,
        id: RequestId,
        parts: &hyper::http::request::Parts,
        body: &Bytes,
    ) -> Response<HttpBody> {
        self.counters.add(&id, RunEvent::Started(None));
        let mut guard = CallGuard {
            counters: &self.counters,
            id: &id,
            end: RunEvent::Cancelled,
        };
        if let Some(crash) = self.gate.crash_for(body) {
            guard.end = RunEvent::Crashed;
            self.gate.report_crash(crash);
            // The server breaks this connection off when it carries the crash out.
            return std::future::pending().await;
        }
        tokio::time::sleep(self.options.duration).await;
        guard.end = RunEvent::Finished;
        drop(guard);
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let echo = ServiceEcho {
            service: self.options.service.clone(),
            host: self.options.name.clone(),
            method: parts.method.to_string(),
            path: path.to_owned(),
            digest: body_digest(body),
            runs: self.counters.of(&id).started,
            request_id: id,
        };
        json_response(StatusCode::OK, &echo)
    }

    fn refuse(&self, id: &RequestId, refusal: Response<HttpBody>) -> Response<HttpBody> {
        self.counters.add(id, RunEvent::Refused);
        reply::not_run(refusal)
    }

    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed) || self.gate.order().leaving
    }

    fn sample(&self) -> LoadReport {
        let free = self.places.available_permits();
        LoadReport {
            running: self.options.call_limit.saturating_sub(free) as u32,
            batch_limit: self.options.call_limit as u32,
            step_ms: self.options.duration.as_secs_f64() * 1_000.0,
            leaving: self.is_leaving(),
            ..LoadReport::default()
        }
    }
}

/// Counts the end of a call, also when its connection closes before.
struct CallGuard<'a> {
    counters: &'a RunCounters,
    id: &'a RequestId,
    end: RunEvent<'a>,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.counters.add(self.id, self.end);
    }
}
