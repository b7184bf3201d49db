//! HTTP API of the platform.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ferry_decisions::names::VersionName;
use ferry_decisions::value_type;
use ferry_kernel::http::{HttpBody, json_response};
use ferry_platform::hosts::HostEntry;
use ferry_platform::log::AppendAnswer;
use ferry_platform::ratings::RatingRequest;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use super::host_table::HostTable;
use super::rating_service::RatingService;
use super::stream_store::{AppendError, StreamStore};
use super::{PlatformOptions, RatingRule, RetentionRule};
use crate::reply;

/// Maximum size of a record, in bytes.
const RECORD_LIMIT: usize = 16 * 1024 * 1024;
/// Maximum size of the body of any other call, in bytes.
const BODY_LIMIT: usize = 1024 * 1024;
/// Maximum number of records in one read, and the default when the caller sets no limit.
const READ_LIMIT: u64 = 10_000;

value_type! {
    /// Delays of the platform's host list and rating service.
    #[derive(Default)]
    pub struct LagOrder {
        /// Delay before the host list shows a change, in milliseconds.
        pub hosts_ms: u64,
        /// Duration of a rating call, in milliseconds.
        pub ratings_ms: u64,
    }

    /// Counts of the calls answered so far, as `GET /standin/counters` returns them.
    #[derive(Default)]
    pub struct PlatformCount {
        /// Records appended.
        pub appends: u64,
        /// Appends refused because they exceeded the rate limit.
        pub refused_appends: u64,
        /// Reads of streams.
        pub reads: u64,
        /// Total size of the appended records, in bytes.
        pub appended_bytes: u64,
        /// Reads of the host list.
        pub listings: u64,
        /// Answers rated.
        pub ratings: u64,
    }
}

/// State shared by the calls of the platform.
#[derive(Debug)]
pub(crate) struct PlatformState {
    store: StreamStore,
    hosts: Mutex<HostTable>,
    rating_service: RatingService,
    lags: Mutex<LagOrder>,
    call_counters: CallCounters,
    /// Cancelled before a stop, so that reads no longer wait for records.
    stop: CancellationToken,
}

#[derive(Debug, Default)]
struct CallCounters {
    appends: AtomicU64,
    refused_appends: AtomicU64,
    reads: AtomicU64,
    appended_bytes: AtomicU64,
    listings: AtomicU64,
    ratings: AtomicU64,
}

impl PlatformState {
    pub(super) fn new(options: &PlatformOptions) -> Self {
        let lags = LagOrder {
            hosts_ms: options.hosts_lag.as_millis() as u64,
            ratings_ms: options.ratings_lag.as_millis() as u64,
        };
        Self {
            store: StreamStore::new(options.retention.clone(), options.appends_per_second),
            hosts: Mutex::default(),
            rating_service: RatingService::default(),
            lags: Mutex::new(lags),
            call_counters: CallCounters::default(),
            stop: CancellationToken::new(),
        }
    }

    /// Makes all current and later reads return without waiting for a record.
    pub(crate) fn cancel_waiting_reads(&self) {
        self.stop.cancel();
    }

    pub(super) fn count(&self) -> PlatformCount {
        let call_counters = &self.call_counters;
        PlatformCount {
            appends: call_counters.appends.load(Ordering::Relaxed),
            refused_appends: call_counters.refused_appends.load(Ordering::Relaxed),
            reads: call_counters.reads.load(Ordering::Relaxed),
            appended_bytes: call_counters.appended_bytes.load(Ordering::Relaxed),
            listings: call_counters.listings.load(Ordering::Relaxed),
            ratings: call_counters.ratings.load(Ordering::Relaxed),
        }
    }

    pub(super) fn put_host(&self, entry: HostEntry) {
        self.hosts.lock().put(entry);
    }

    pub(super) fn set_rating(&self, version: VersionName, rule: RatingRule) -> bool {
        self.rating_service.set(version, rule)
    }

    /// Answers a call of the platform's published protocols.
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Response<HttpBody> {
        let path = request.uri().path().to_owned();
        if let Some(stream) = stream_name(&path) {
            return self.answer_stream(stream, request).await;
        }
        match (request.method(), path.as_str()) {
            (&Method::GET, "/hosts") => {
                count(&self.call_counters.listings);
                let lag = Duration::from_millis(self.lags.lock().hosts_ms);
                json_response(StatusCode::OK, &self.hosts.lock().listing(lag))
            }
            (&Method::POST, "/ratings") => self.rate(request).await,
            (_, path) => match path.strip_prefix("/hosts/") {
                Some(name) => self.change_host(name, request).await,
                None => not_found(),
            },
        }
    }

    /// Answers a call below `/standin/`.
    pub(crate) async fn answer_control(&self, request: Request<Incoming>) -> Response<HttpBody> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/standin/counters") => json_response(StatusCode::OK, &self.count()),
            (&Method::PUT, "/standin/retention") => self.order_retention(request).await,
            (&Method::PUT, "/standin/lags") => self.order_lags(request).await,
            (&Method::PUT, path) => match path.strip_prefix("/standin/ratings/") {
                Some(version) => self.order_rating(version, request).await,
                None => not_found(),
            },
            _ => not_found(),
        }
    }

    async fn answer_stream(&self, name: &str, request: Request<Incoming>) -> Response<HttpBody> {
        match *request.method() {
            Method::POST => self.append(name, request).await,
            Method::GET => self.read(name, &request).await,
            _ => not_found(),
        }
    }

    async fn append(&self, name: &str, request: Request<Incoming>) -> Response<HttpBody> {
        let body = match reply::read_body(request.into_body(), RECORD_LIMIT).await {
            Ok(body) => body,
            Err(refusal) => return *refusal,
        };
        let Ok(data) = String::from_utf8(body.into()) else {
            let message = "a record must be UTF-8; encode it as text";
            return reply::error(StatusCode::BAD_REQUEST, message);
        };
        let length = data.len() as u64;
        match self.store.append(name, data) {
            Ok(offset) => {
                count(&self.call_counters.appends);
                self.call_counters
                    .appended_bytes
                    .fetch_add(length, Ordering::Relaxed);
                json_response(StatusCode::OK, &AppendAnswer { offset })
            }
            Err(problem @ AppendError::TooFast) => {
                count(&self.call_counters.refused_appends);
                reply::retry_later(StatusCode::TOO_MANY_REQUESTS, &problem.to_string())
            }
            Err(problem) => reply::error(StatusCode::BAD_REQUEST, &problem.to_string()),
        }
    }

    async fn read(&self, name: &str, request: &Request<Incoming>) -> Response<HttpBody> {
        let query = request.uri().query();
        let from = reply::query_number(query, "from").unwrap_or(0);
        let max = reply::query_number(query, "max").unwrap_or(READ_LIMIT);
        let wait = reply::query_number(query, "wait_ms").unwrap_or(0);
        count(&self.call_counters.reads);
        let max = max.min(READ_LIMIT) as usize;
        let wait_for_record = self
            .store
            .wait_for_record(name, from, Duration::from_millis(wait));
        self.stop.run_until_cancelled(wait_for_record).await;
        let answer = self.store.read(name, from, max);
        json_response(StatusCode::OK, &answer)
    }

    async fn change_host(&self, name: &str, request: Request<Incoming>) -> Response<HttpBody> {
        match *request.method() {
            Method::PUT => {
                let entry: HostEntry = match reply::read_json(request.into_body(), BODY_LIMIT).await
                {
                    Ok(entry) => entry,
                    Err(refusal) => return *refusal,
                };
                if entry.name.as_str() != name {
                    let message = "the entry's name differs from the path's; make them equal";
                    return reply::error(StatusCode::BAD_REQUEST, message);
                }
                self.put_host(entry);
                json_response(StatusCode::OK, &())
            }
            Method::DELETE => {
                self.hosts.lock().remove(name.into());
                json_response(StatusCode::OK, &())
            }
            _ => not_found(),
        }
    }

    async fn rate(&self, request: Request<Incoming>) -> Response<HttpBody> {
        let rating: RatingRequest = match reply::read_json(request.into_body(), BODY_LIMIT).await {
            Ok(rating) => rating,
            Err(refusal) => return *refusal,
        };
        let lag = Duration::from_millis(self.lags.lock().ratings_ms);
        tokio::time::sleep(lag).await;
        count(&self.call_counters.ratings);
        json_response(StatusCode::OK, &self.rating_service.rate(&rating))
    }

    async fn order_retention(&self, request: Request<Incoming>) -> Response<HttpBody> {
        match reply::read_json::<RetentionRule>(request.into_body(), BODY_LIMIT).await {
            Ok(rule) if self.store.set_retention(&rule) => json_response(StatusCode::OK, &()),
            Ok(_) => {
                let message = "there are as many retention rules as there can be; change one";
                reply::error(StatusCode::BAD_REQUEST, message)
            }
            Err(refusal) => *refusal,
        }
    }

    async fn order_lags(&self, request: Request<Incoming>) -> Response<HttpBody> {
        match reply::read_json::<LagOrder>(request.into_body(), BODY_LIMIT).await {
            Ok(lags) => {
                *self.lags.lock() = lags;
                json_response(StatusCode::OK, &())
            }
            Err(refusal) => *refusal,
        }
    }

    async fn order_rating(&self, version: &str, request: Request<Incoming>) -> Response<HttpBody> {
        let rule: RatingRule = match reply::read_json(request.into_body(), BODY_LIMIT).await {
            Ok(rule) => rule,
            Err(refusal) => return *refusal,
        };
        if !rule.is_valid() {
            let message = "score, bad_score and bad_fraction must be from 0 to 1";
            return reply::error(StatusCode::BAD_REQUEST, message);
        }
        if !self.set_rating(version.into(), rule) {
            let message = "there are as many rating rules as there can be; change one of them";
            return reply::error(StatusCode::BAD_REQUEST, message);
        }
        json_response(StatusCode::OK, &())
    }
}

fn stream_name(path: &str) -> Option<&str> {
    path.strip_prefix("/streams/")?.strip_suffix("/records")
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

fn not_found() -> Response<HttpBody> {
    let message = "there is no such call; the platform's protocols list them";
    reply::error(StatusCode::NOT_FOUND, message)
}
