//! HTTP client with pooled connections.

use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::answer::{AnswerStatus, StatusError};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::KEEP_ALIVE;
use super::body::{BodyError, collect_steady};
use super::paced_connector::PacedConnector;

/// Longest response body that [`HttpClient::fetch`] reads, in bytes.
const RESPONSE_LIMIT: usize = 64 * 1024 * 1024;
/// Time after which an idle connection is closed: half of the time after which servers close it.
const IDLE_TIMEOUT: Duration = KEEP_ALIVE.checked_div(2).unwrap();

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// No connection was made, so the server received nothing.
    #[error(
        "cannot connect to {url}: {reason}; check that the server runs and the address is right"
    )]
    Connect {
        /// Address that was called.
        url: String,
        /// Message of the transport.
        reason: String,
    },
    /// The connection failed during the call; the server may have received the request.
    #[error("the call to {url} was interrupted: {reason}; the server may have received it")]
    Broken {
        /// Address that was called.
        url: String,
        /// Message of the transport.
        reason: String,
    },
    /// No response in time; the server may have received the request.
    #[error("no answer from {url} within {timeout:?}; the server may have received the call")]
    Timeout {
        /// Address that was called.
        url: String,
        /// Time allowed for the call.
        timeout: Duration,
    },
    /// The server responded with an error status.
    #[error("{url} answered {status}: {body}")]
    Status {
        /// Address that was called.
        url: String,
        /// Status of the response.
        status: StatusCode,
        /// Body of the response.
        body: String,
    },
    /// The response has a status that no answer has; the server may have received the request.
    #[error("{url} sent no answer: {reason}")]
    NoAnswer {
        /// Address that was called.
        url: String,
        /// What is wrong with the status.
        reason: StatusError,
    },
    /// The response could not be decoded.
    #[error(
        "the answer of {url} cannot be read: {reason}; check that the address belongs to the right service"
    )]
    Unreadable {
        /// Address that was called.
        url: String,
        /// Message of the parser.
        reason: String,
    },
    /// The request could not be built.
    #[error("{url:?} is not a valid address: {reason}; write http://IP:PORT/PATH")]
    BadRequest {
        /// Address as given.
        url: String,
        /// What is wrong with it.
        reason: String,
    },
}

/// A request to send: method, address, headers and body.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    /// HTTP method.
    pub method: Method,
    /// Full address, `http://IP:PORT/PATH`.
    pub url: String,
    /// Headers, empty by default.
    pub headers: HeaderMap,
    /// Body, empty for a GET.
    pub body: Bytes,
}

impl HttpRequest {
    /// A GET of `url`.
    pub fn get(url: &str) -> Self {
        Self::new(Method::GET, url, Bytes::new())
    }

    /// A POST of `content` as JSON to `url`.
    pub fn post_json(url: &str, content: &impl Serialize) -> Self {
        let body = serde_json::to_vec(content).unwrap_or_default();
        let mut request = Self::new(Method::POST, url, body.into());
        request
            .headers
            .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        request
    }

    /// A request with any method and body.
    pub fn new(method: Method, url: &str, body: Bytes) -> Self {
        Self {
            method,
            url: url.to_owned(),
            headers: HeaderMap::new(),
            body,
        }
    }

    /// Adds `Authorization: Bearer TOKEN`.
    #[must_use]
    pub fn bearer(mut self, token: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(&format!("Bearer {token}")) {
            self.headers.insert(AUTHORIZATION, value);
        }
        self
    }
}

/// How long a call may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallTimes {
    /// Until the head of the answer has come.
    pub head: Duration,
    /// Between two pieces of its body.
    pub pause: Duration,
    /// In total.
    pub total: Duration,
}

impl From<Duration> for CallTimes {
    /// A call whose answer must be complete after `timeout`.
    fn from(timeout: Duration) -> Self {
        Self {
            head: timeout,
            pause: timeout,
            total: timeout,
        }
    }
}

/// Client with a pool of connections; clones share the pool.
#[derive(Debug, Clone)]
pub struct HttpClient {
    inner: Client<PacedConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        let inner = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(true)
            .build(PacedConnector::default());
        Self { inner }
    }
}

impl HttpClient {
    /// Sends `request` and returns as soon as the head of the response is received, whatever its
    /// status, if it is one of an answer.
    ///
    /// # Errors
    ///
    /// [`HttpError::Connect`] means that nothing was sent; after any other error the server may
    /// have received the request.
    pub async fn send(
        &self,
        request: HttpRequest,
        timeout: Duration,
    ) -> Result<Response<Incoming>, HttpError> {
        let HttpRequest {
            method,
            url,
            headers,
            body,
        } = request;
        let mut outgoing = Request::builder()
            .method(method)
            .uri(&url)
            .body(Full::new(body))
            .map_err(|error| HttpError::BadRequest {
                url: url.clone(),
                reason: error.to_string(),
            })?;
        *outgoing.headers_mut() = headers;
        match tokio::time::timeout(timeout, self.inner.request(outgoing)).await {
            Err(_) => Err(HttpError::Timeout { url, timeout }),
            Ok(Err(error)) => {
                let reason = error_chain(&error);
                Err(if error.is_connect() {
                    HttpError::Connect { url, reason }
                } else {
                    HttpError::Broken { url, reason }
                })
            }
            Ok(Ok(response)) => match AnswerStatus::try_from(response.status().as_u16()) {
                Ok(_) => Ok(response),
                Err(reason) => Err(HttpError::NoAnswer { url, reason }),
            },
        }
    }

    /// Sends `request` and reads the whole response, which must have a success status.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`], and when the status is not a success or the body cannot be read.
    pub async fn fetch(&self, request: HttpRequest, timeout: Duration) -> Result<Bytes, HttpError> {
        let url = request.url.clone();
        let response = self
            .fetch_response(request, timeout.into(), RESPONSE_LIMIT)
            .await?;
        successful_body(url, response)
    }

    /// Sends `request` and reads the whole response of at most `limit` bytes within `times`, whatever its status.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`], and when the body cannot be read.
    pub async fn fetch_response(
        &self,
        request: HttpRequest,
        times: CallTimes,
        limit: usize,
    ) -> Result<Response<Bytes>, HttpError> {
        let url = request.url.clone();
        let timed_out = |timeout| HttpError::Timeout {
            url: url.clone(),
            timeout,
        };
        let exchange = async {
            let (head, body) = self.send(request, times.head).await?.into_parts();
            let body = collect_steady(body, limit, times.pause).await;
            let body = body.map_err(|error| match error {
                BodyError::Silent { pause } => timed_out(pause),
                error => HttpError::Broken {
                    url: url.clone(),
                    reason: error.to_string(),
                },
            })?;
            Ok(Response::from_parts(head, body))
        };
        let exchange = tokio::time::timeout(times.total, exchange);
        exchange.await.map_err(|_| timed_out(times.total))?
    }

    /// Sends `request` and decodes the response body as JSON.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::fetch`], and when the body does not decode to a `T`.
    pub async fn fetch_json<T: DeserializeOwned>(
        &self,
        request: HttpRequest,
        timeout: Duration,
    ) -> Result<T, HttpError> {
        let url = request.url.clone();
        let body = self.fetch(request, timeout).await?;
        serde_json::from_slice(&body).map_err(|error| HttpError::Unreadable {
            url,
            reason: error.to_string(),
        })
    }
}

/// Body of a `response` of `url` with a success status.
///
/// # Errors
///
/// [`HttpError::Status`] when the status is another one.
pub fn successful_body(url: String, response: Response<Bytes>) -> Result<Bytes, HttpError> {
    let status = response.status();
    let body = response.into_body();
    if status.is_success() {
        return Ok(body);
    }
    Err(HttpError::Status {
        url,
        status,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
