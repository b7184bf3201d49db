//! One send of a request to one upstream.

use std::error::Error as _;
use std::io::{self, ErrorKind};
use std::sync::Arc;

use bytes::Bytes;
use ferry_decisions::names::HostName;
use ferry_decisions::retry::UpstreamFailure;
use ferry_kernel::http::BodyFraming;
use ferry_platform::headers::AnswerFacts;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};

use crate::relay::RelayCore;
use crate::relay::paths::{UpstreamStatement, open_link, record_lost_path, tell_router};
use crate::relay::permits::StatedLimits;
use crate::relay::relay_core::SharedCore;
use crate::relay::upstreams::{InFlightGuard, LinkLease, RelayUpstream, UpstreamLink};

/// A request as it is sent to the upstream.
#[derive(Debug, Clone)]
pub struct OutgoingRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub target: String,
    /// Headers to forward, including those that the router adds.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// An answer whose head has been read and whose body has not.
#[derive(Debug)]
pub struct UpstreamAnswer {
    /// Status and headers.
    pub head: Parts,
    /// Values parsed from the headers.
    pub facts: AnswerFacts,
    /// How the end of the body is marked.
    pub framing: BodyFraming,
    /// Body, still to be read.
    pub body: Incoming,
    /// Connection that carries the answer.
    pub lease: LinkLease,
    /// Counts the request as in flight at the upstream until the answer is dropped.
    pub in_flight: InFlightGuard,
    /// Upstream that sent the answer.
    pub upstream: Arc<RelayUpstream>,
}

impl UpstreamAnswer {
    /// Whether the connection can carry another request after the end of the body.
    pub fn keeps_link(&self) -> bool {
        !self.facts.closes && self.framing == BodyFraming::Delimited
    }
}

/// A failed send: no answer arrived, or none that counts as a success.
#[derive(Debug)]
pub struct SendFailure {
    /// How the send failed.
    pub kind: UpstreamFailure,
    /// The upstream's own error answer, forwarded to the caller if the request is not sent again.
    pub answer: Option<Box<UpstreamAnswer>>,
    /// Router through which the broken connection went; absent if it was direct.
    pub detour: Option<HostName>,
}

impl SendFailure {
    /// A failure of kind `kind` without an answer.
    pub fn without_answer(kind: UpstreamFailure) -> Self {
        Self {
            kind,
            answer: None,
            detour: None,
        }
    }
}

/// Sends a request to `upstream` and checks that the answer is to the attempt `attempt_id`.
///
/// Dropping the future closes the connection, which aborts the run at the upstream.
///
/// # Errors
///
/// Returns the kind of failure, which tells whether the request may have run, and the upstream's error
/// answer if there is one.
pub async fn send(
    core: &SharedCore,
    upstream: &Arc<RelayUpstream>,
    outgoing: &OutgoingRequest,
    attempt_id: &str,
) -> Result<UpstreamAnswer, SendFailure> {
    let in_flight = upstream.begin();
    let sent_at = core.clock.now();
    let (response, lease) = exchange(core, upstream, outgoing).await?;
    let (head, body) = response.into_parts();
    let facts = AnswerFacts::read(&head.headers);
    let incarnation = &upstream.record.incarnation;
    let stated = StatedLimits {
        per_second: facts.limit,
        rejections: facts.rejections,
    };
    core.permits
        .record_answer(incarnation, stated, sent_at, core.clock.now());
    if facts.leaves && !upstream.is_leaving() {
        upstream.mark_leaving();
        spdlog::info!("upstream says that it leaves", kv: { upstream = upstream.id() });
    }
    let pause = facts
        .pause
        .filter(|_| head.status == StatusCode::SERVICE_UNAVAILABLE);
    if let Some(router) = lease.detour()
        && (facts.leaves || pause.is_some())
    {
        let statement = UpstreamStatement {
            upstream: incarnation.clone(),
            leaves: facts.leaves,
            pause: pause.unwrap_or_default(),
        };
        tell_router(core, router.clone(), statement);
    }
    if let Some(pause) = pause {
        upstream.pause(pause);
        spdlog::info!("upstream asks for a pause", kv: {
            request_id = attempt_id,
            upstream = upstream.id(),
            pause_ms = pause.as_millis() as u64,
        });
    }
    let answer = UpstreamAnswer {
        framing: BodyFraming::of(&outgoing.method, &head),
        head,
        facts,
        body,
        lease,
        in_flight,
        upstream: Arc::clone(upstream),
    };
    match classify(&answer, attempt_id) {
        None => Ok(answer),
        Some(kind) => Err(SendFailure {
            kind,
            answer: (kind == UpstreamFailure::ServerError).then(|| Box::new(answer)),
            detour: None,
        }),
    }
}

/// Sends on an idle connection, or on a new one if there is none or all idle ones turn out to be closed.
async fn exchange(
    core: &RelayCore,
    upstream: &Arc<RelayUpstream>,
    outgoing: &OutgoingRequest,
) -> Result<(Response<Incoming>, LinkLease), SendFailure> {
    while let Some(link) = upstream.take_idle() {
        match exchange_on(core, upstream, link, outgoing).await {
            Err(failure) if failure.kind == UpstreamFailure::ConnectFailed => {}
            result => return result,
        }
    }
    let link = open_link(core, upstream)
        .await
        .map_err(|_| SendFailure::without_answer(UpstreamFailure::ConnectFailed))?;
    if upstream.pause_left().is_some() || upstream.is_leaving() {
        // It asked for the pause, or said that it leaves, while the connection was opened.
        return Err(SendFailure::without_answer(UpstreamFailure::RefusedNotRun));
    }
    exchange_on(core, upstream, link, outgoing).await
}

async fn exchange_on(
    core: &RelayCore,
    upstream: &Arc<RelayUpstream>,
    link: UpstreamLink,
    outgoing: &OutgoingRequest,
) -> Result<(Response<Incoming>, LinkLease), SendFailure> {
    let mut lease = LinkLease::new(Arc::clone(upstream), link);
    let request = build_request(outgoing)?;
    match lease.link().sender.try_send_request(request).await {
        Ok(response) => Ok((response, lease)),
        Err(mut error) => {
            let unsent = error.take_message().is_some();
            let cause = broken_by(error.error());
            let is_path_lost = cause == ErrorKind::TimedOut || lease.is_tunnel_lost();
            if is_path_lost {
                record_lost_path(core, upstream, lease.detour());
            }
            spdlog::info!("connection to an upstream broke", kv: {
                upstream = upstream.id(),
                router = lease.detour().map_or("", HostName::as_str),
                unsent = unsent,
                error:? = cause,
            });
            let kind = match (unsent, error.error().is_parse()) {
                (true, _) => UpstreamFailure::ConnectFailed,
                (false, true) => UpstreamFailure::MalformedAnswer,
                (false, false) if is_path_lost => UpstreamFailure::PathLost,
                (false, false) => UpstreamFailure::BrokenBeforeAnswer,
            };
            Err(SendFailure {
                kind,
                answer: None,
                detour: lease.detour().cloned(),
            })
        }
    }
}

/// Kind of the I/O error that broke a connection; `Other` if it broke for another reason.
fn broken_by(error: &hyper::Error) -> ErrorKind {
    let cause = error.source();
    let cause = cause.and_then(|cause| cause.downcast_ref::<io::Error>());
    cause.map_or(ErrorKind::Other, io::Error::kind)
}

fn build_request(outgoing: &OutgoingRequest) -> Result<Request<Full<Bytes>>, SendFailure> {
    let mut request = Request::builder()
        .method(outgoing.method.clone())
        .uri(outgoing.target.as_str())
        .body(Full::new(outgoing.body.clone()))
        .map_err(|_| SendFailure::without_answer(UpstreamFailure::BadRequest))?;
    *request.headers_mut() = outgoing.headers.clone();
    Ok(request)
}

/// Reason why an answer cannot be forwarded as it is; `None` when it can.
fn classify(answer: &UpstreamAnswer, attempt_id: &str) -> Option<UpstreamFailure> {
    let (status, facts) = (answer.head.status, &answer.facts);
    match status {
        StatusCode::MISDIRECTED_REQUEST => return Some(UpstreamFailure::Leaving),
        _ if facts.not_run && status == StatusCode::BAD_REQUEST => {
            return Some(UpstreamFailure::BadRequest);
        }
        _ if facts.not_run && !status.is_success() => return Some(UpstreamFailure::QueueFull),
        _ => {}
    }
    if !facts.signed || facts.attempt_id.as_deref() != Some(attempt_id) {
        return Some(UpstreamFailure::MalformedAnswer);
    }
    status
        .is_server_error()
        .then_some(UpstreamFailure::ServerError)
}
