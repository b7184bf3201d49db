//! HTTP API of a service, and the state shared by its calls.

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
use crate::engine::{LoadHistory, sample_load};
use crate::faults::FaultGate;
use crate::reply;

/// Maximum size of a call's body, in bytes.
const BODY_LIMIT: usize = 16 * 1024 * 1024;

value_type! {
    /// Answer of a service, which describes the call it received.
    pub struct ServiceEcho {
        /// Request id from the call's header, or a generated one.
        pub request_id: RequestId,
        /// Service that ran the call.
        pub service: ServiceName,
        /// Host that ran the call.
        pub host: HostName,
        /// Method of the call.
        pub method: String,
        /// Path and query of the call.
        pub path: String,
        /// Digest of the call's body.
        pub digest: String,
        /// Number of runs of this request id on this host, including this one.
        pub runs: u64,
    }
}

/// State shared by the calls of one service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    options: ServiceOptions,
    gate: Arc<FaultGate>,
    load_history: Arc<LoadHistory>,
    counters: RunCounters,
    /// One permit for each call that can run; a call holds its permit until it ends.
    call_permits: Semaphore,
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
            load_history: Arc::new(LoadHistory::new(options.load_lag, first)),
            call_permits: Semaphore::new(options.call_limit),
            options,
            gate,
            counters: RunCounters::default(),
            leaving: AtomicBool::new(false),
            stop: CancellationToken::new(),
        });
        let sampled = state.clone();
        let sampling = sample_load(state.load_history.clone(), state.gate.clone(), move || {
            sampled.sample()
        });
        tokio::spawn(state.stop.clone().run_until_cancelled_owned(sampling));
        state
    }

    /// Counts of the service's runs.
    pub(crate) fn counters(&self) -> &RunCounters {
        &self.counters
    }

    /// Makes the service refuse new work from now on.
    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Stops the background task.
    pub(crate) fn stop(&self) {
        self.stop.cancel();
    }

    /// Answers a call of the service, or returns the load report.
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Response<HttpBody> {
        if request.method() == Method::GET && request.uri().path() == "/load" {
            return json_response(StatusCode::OK, &self.load_history.report());
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
        let Ok(_permit) = self.call_permits.try_acquire() else {
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
            // The server breaks this connection when it carries out the crash.
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
        let free = self.call_permits.available_permits();
        LoadReport {
            running: self.options.call_limit.saturating_sub(free) as u32,
            batch_limit: self.options.call_limit as u32,
            step_ms: self.options.duration.as_secs_f64() * 1_000.0,
            leaving: self.is_leaving(),
            ..LoadReport::default()
        }
    }
}

/// Counts the end of a call when dropped, also if its connection closes before the call ends.
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
