//! One send of a request to one upstream.

use std::sync::Arc;

use bytes::Bytes;
use ferry_decisions::retry::UpstreamFailure;
use ferry_platform::headers::AnswerFacts;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};

use crate::relay::upstreams::{FlightTicket, LinkLease, RelayUpstream, UpstreamLink};

/// A request as the upstream gets it.
#[derive(Debug, Clone)]
pub struct OutgoingRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Head of an answer, its body still to come.
#[derive(Debug)]
pub struct UpstreamAnswer {
    /// Status and headers.
    pub head: Parts,
    /// What the headers say.
    pub facts: AnswerFacts,
    /// Body.
    pub body: Incoming,
    /// Connection that carries it.
    pub lease: LinkLease,
    /// Counts the request as in flight.
    pub ticket: FlightTicket,
    /// Upstream that answers.
    pub upstream: Arc<RelayUpstream>,
}

/// A send without an answer that can be passed on.
#[derive(Debug)]
pub struct SendFailure {
    /// How it failed.
    pub kind: UpstreamFailure,
    /// The upstream's own answer, which the caller gets if nothing better comes.
    pub answer: Option<Box<UpstreamAnswer>>,
}

impl SendFailure {
    /// A failure without an answer.
    pub fn plain(kind: UpstreamFailure) -> Self {
        Self { kind, answer: None }
    }
}

/// Sends a request whose attempt is `attempt_id` to `upstream`.
///
/// Dropping the future closes the connection, which ends the run at the upstream.
///
/// # Errors
///
/// Says what the failure tells about the run.
pub async fn send(
    upstream: &Arc<RelayUpstream>,
    outgoing: &OutgoingRequest,
    attempt_id: &str,
) -> Result<UpstreamAnswer, SendFailure> {
    let ticket = upstream.begin();
    let (response, lease) = exchange(upstream, outgoing).await?;
    let (head, body) = response.into_parts();
    let facts = AnswerFacts::read(&head.headers);
    let answer = UpstreamAnswer {
        head,
        facts,
        body,
        lease,
        ticket,
        upstream: Arc::clone(upstream),
    };
    match classify(&answer, attempt_id) {
        None => Ok(answer),
        Some(kind) => Err(SendFailure {
            kind,
            answer: (kind == UpstreamFailure::ServerError).then(|| Box::new(answer)),
        }),
    }
}

/// Sends on an idle connection if there is one; one that was closed meanwhile is replaced.
async fn exchange(
    upstream: &Arc<RelayUpstream>,
    outgoing: &OutgoingRequest,
) -> Result<(Response<Incoming>, LinkLease), SendFailure> {
    while let Some(link) = upstream.take_idle() {
        match exchange_on(upstream, link, outgoing).await {
            Err(failure) if failure.kind == UpstreamFailure::ConnectFailed => {}
            result => return result,
        }
    }
    let link = UpstreamLink::open(upstream.record.address)
        .await
        .map_err(|error| {
            spdlog::debug!("no connection to {}: {}", upstream.id(), error);
            SendFailure::plain(UpstreamFailure::ConnectFailed)
        })?;
    exchange_on(upstream, link, outgoing).await
}

async fn exchange_on(
    upstream: &Arc<RelayUpstream>,
    link: UpstreamLink,
    outgoing: &OutgoingRequest,
) -> Result<(Response<Incoming>, LinkLease), SendFailure> {
    let mut lease = LinkLease::new(Arc::clone(upstream), link);
    let request = build(outgoing)?;
    match lease.link().sender.try_send_request(request).await {
        Ok(response) => Ok((response, lease)),
        Err(mut error) => {
            let unsent = error.take_message().is_some();
            spdlog::debug!("the send to {} failed: {}", upstream.id(), error.error());
            let kind = match (unsent, error.error().is_parse()) {
                (true, _) => UpstreamFailure::ConnectFailed,
                (false, true) => UpstreamFailure::MalformedAnswer,
                (false, false) => UpstreamFailure::BrokenBeforeAnswer,
            };
            Err(SendFailure::plain(kind))
        }
    }
}

fn build(outgoing: &OutgoingRequest) -> Result<Request<Full<Bytes>>, SendFailure> {
    let mut request = Request::builder()
        .method(outgoing.method.clone())
        .uri(outgoing.target.as_str())
        .body(Full::new(outgoing.body.clone()))
        .map_err(|_| SendFailure::plain(UpstreamFailure::BadRequest))?;
    *request.headers_mut() = outgoing.headers.clone();
    Ok(request)
}

/// Why an answer cannot be passed on as it is; nothing when it can.
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
