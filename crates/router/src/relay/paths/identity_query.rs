//! Asks the process behind a connection which upstream it is.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::ends::ProcessSign;
use ferry_decisions::limits::StatedLimits;
use ferry_kernel::http::{BodyFraming, collect_limited};
use ferry_platform::headers::{AnswerFacts, health_headers};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use hyper::{Method, Request, Response, StatusCode};
use tokio::time::timeout;

use crate::relay::relay_core::RelayCore;
use crate::relay::upstreams::{LinkLease, RelayUpstream, UpstreamLink};

/// Time within which an upstream must say who it is; a sound one may be silent for a second.
const IDENTITY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum size of the answer to a health check, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Path of the health check of the service that `upstream` belongs to, if it has one.
pub fn health_path(core: &RelayCore, upstream: &RelayUpstream) -> Option<String> {
    let rules = core.rules.load();
    let service = rules.as_ref()?.service(&upstream.record.service)?;
    service.health_path.clone()
}

/// Asks at `health_path` whether the process behind `link` is `upstream`, in the incarnation that is listed; keeps the connection for the next
/// request if it may carry one.
pub async fn ask_identity(
    core: &RelayCore,
    upstream: &Arc<RelayUpstream>,
    link: UpstreamLink,
    health_path: &str,
) -> ProcessSign {
    let asking = exchange(core, upstream, link, health_path);
    let sign = timeout(IDENTITY_TIMEOUT, asking).await;
    let sign = sign.ok().flatten().unwrap_or(ProcessSign::Unreached);
    match sign {
        ProcessSign::Same if is_replaced(core, upstream) => ProcessSign::Replaced,
        sign => sign,
    }
}

/// What the answer says of the process; `None` if there is no answer.
async fn exchange(
    core: &RelayCore,
    upstream: &Arc<RelayUpstream>,
    link: UpstreamLink,
    health_path: &str,
) -> Option<ProcessSign> {
    let sent_at = core.clock.now();
    let mut lease = LinkLease::new(Arc::clone(upstream), link);
    let request = health_check(upstream, health_path)?;
    lease.link().heads.begin();
    let response = lease.link().sender.send_request(request).await.ok()?;
    lease.link().heads.end();
    let (head, body) = Response::into_parts(response);
    let facts = AnswerFacts::read(&head.headers);
    let sign = stated_process(upstream, head.status, &facts);
    if sign == ProcessSign::Same {
        record_statements(core, upstream, head.status, &facts);
        let stated = StatedLimits {
            per_second: facts.limit,
            rejections: facts.rejections,
        };
        let now = core.clock.now();
        core.permits
            .record_answer(&upstream.record, stated, sent_at, now);
        keep_link(lease, &head, &facts, body).await;
    }
    Some(sign)
}

fn health_check(upstream: &RelayUpstream, path: &str) -> Option<Request<Full<Bytes>>> {
    let request = Request::builder().method(Method::GET).uri(path);
    let mut request = request.body(Full::default()).ok()?;
    *request.headers_mut() = health_headers(upstream.id(), IDENTITY_TIMEOUT);
    Some(request)
}

/// Only the named upstream answers a bound request with another status than 421; an answer may name its upstream besides.
fn stated_process(
    upstream: &RelayUpstream,
    status: StatusCode,
    facts: &AnswerFacts,
) -> ProcessSign {
    match facts.upstream_id.as_deref() {
        Some(id) if id != upstream.id() => ProcessSign::Replaced,
        _ if status == StatusCode::MISDIRECTED_REQUEST => ProcessSign::Replaced,
        Some(_) => ProcessSign::Same,
        // The upstream had no room for the check.
        None if facts.not_run => ProcessSign::Same,
        None => ProcessSign::Unreached,
    }
}

fn record_statements(
    core: &RelayCore,
    upstream: &RelayUpstream,
    status: StatusCode,
    facts: &AnswerFacts,
) {
    if facts.leaves {
        upstream.mark_leaving();
    }
    let is_unavailable = status == StatusCode::SERVICE_UNAVAILABLE;
    if let Some(pause) = facts.pause.filter(|_| is_unavailable) {
        upstream.pause(pause);
    }
    if let Some(load) = facts.load {
        upstream.record_load(load, core.clock.now());
    }
}

/// Reads the answer to its end, and gives the connection back if it can carry a request.
async fn keep_link(lease: LinkLease, head: &Parts, facts: &AnswerFacts, body: Incoming) {
    let is_delimited = BodyFraming::of(&Method::GET, head) == BodyFraming::Delimited;
    if facts.closes || !is_delimited || lease.upstream().pause_left().is_some() {
        return;
    }
    if collect_limited(body, MAX_ANSWER_BYTES).await.is_ok() {
        lease.give_back(facts.keep_alive);
    }
}

/// Whether another incarnation of `upstream` is listed. That none is listed is no evidence: entries lapse while the store is out of reach.
pub fn is_replaced(core: &RelayCore, upstream: &RelayUpstream) -> bool {
    let incarnation = &upstream.record.incarnation;
    let listed = core.upstreams.find(&incarnation.id);
    listed.is_some_and(|listed| listed.record.incarnation != *incarnation)
}
