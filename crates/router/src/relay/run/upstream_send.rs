//! One send of a request to one upstream.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::names::{HostName, ModelName};
use ferry_decisions::retry::UpstreamFailure;
use ferry_decisions::ruleset::AllowedRegions;
use ferry_kernel::http::BodyFraming;
use ferry_platform::headers::AnswerFacts;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use hyper::{HeaderMap, Method};
use tokio::time::Instant;

use super::body_type::BodyType;
use super::planned_send::PlannedSend;
use super::silence_meter::SilenceMeter;
use super::upstream_exchange::UpstreamExchange;
use crate::relay::paths::open_link;
use crate::relay::permits::cold_rate;
use crate::relay::relay_core::{RelayCore, SharedCore};
use crate::relay::upstreams::{InFlightGuard, LinkLease, RelayUpstream};
use crate::relay::workload::RunFacts;

/// A request as it is sent to the upstream.
#[derive(Debug, Clone)]
pub struct OutgoingRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub target: String,
    /// Headers to forward, including those that the router adds.
    pub headers: HeaderMap,
    /// Model that the caller named; absent if the router chose it or none is named.
    pub caller_model: Option<ModelName>,
    /// Complete body.
    pub body: Bytes,
    /// Regions in which the request may be handled.
    pub regions: AllowedRegions,
    /// Time by which the answer must be complete.
    pub until: Instant,
    /// What is known of the run before it is sent.
    pub run: RunFacts,
}

impl OutgoingRequest {
    /// Time left for the answer; `None` if it is over.
    pub fn time_left(&self) -> Option<Duration> {
        let left = self.until.checked_duration_since(Instant::now());
        left.filter(|left| !left.is_zero())
    }
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
    /// How long nothing was read of the answer.
    pub silence: SilenceMeter,
    /// Connection that carries the answer.
    pub lease: LinkLease,
    /// Counts the request as in flight at the upstream until the answer is dropped.
    pub in_flight: InFlightGuard,
    /// Upstream that sent the answer.
    pub upstream: Arc<RelayUpstream>,
}

impl UpstreamAnswer {
    /// What the headers say of the body.
    pub fn body_type(&self) -> BodyType {
        BodyType::of(&self.head.headers)
    }

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

/// Makes the send `planned` and checks that the answer is to the attempt `attempt_id`.
///
/// Dropping the future closes the connection, which aborts the run at the upstream; an answer that arrives within
/// [`LISTEN_TIME`](super::upstream_exchange::LISTEN_TIME) is still heard before, for what it says of the upstream.
///
/// # Errors
///
/// Returns the kind of failure, which tells whether the request may have run, and the upstream's error
/// answer if there is one.
pub async fn send(
    core: &SharedCore,
    planned: PlannedSend,
    outgoing: &OutgoingRequest,
    attempt_id: &str,
) -> Result<UpstreamAnswer, SendFailure> {
    let upstream = &planned.upstream;
    hold_if_evacuated(core, upstream)?;
    let may_pass = |router: &HostName| core.may_pass_to(router, &outgoing.regions);
    hold_if_cold(core, &planned)?;
    while let Some(link) = upstream.take_idle(may_pass) {
        let exchange = UpstreamExchange::new(core, &planned, outgoing, attempt_id);
        match exchange.run(link).await {
            Err(failure) if failure.kind == UpstreamFailure::ConnectFailed => {}
            result => return result,
        }
    }
    let connecting = upstream.begin(planned.permit.clone(), None);
    let link = open_link(core, upstream, &may_pass)
        .await
        .map_err(|_| SendFailure::without_answer(UpstreamFailure::ConnectFailed))?;
    if upstream.pause_left().is_some() || upstream.is_leaving() {
        // It asked for the pause, or said that it leaves, while the connection was opened.
        return Err(SendFailure::without_answer(UpstreamFailure::RefusedNotRun));
    }
    hold_if_evacuated(core, upstream)?;
    hold_if_cold(core, &planned)?;
    let exchange = UpstreamExchange::new(core, &planned, outgoing, attempt_id);
    drop(connecting);
    exchange.run(link).await
}

/// Holds a send back whose upstream's zone was evacuated after it was planned.
///
/// # Errors
///
/// Fails in that case; nothing of the request was written.
pub(super) fn hold_if_evacuated(
    core: &RelayCore,
    upstream: &RelayUpstream,
) -> Result<(), SendFailure> {
    if !core.is_evacuated(upstream) {
        return Ok(());
    }
    core.evacuations.count_held_send();
    spdlog::info!("send held back: the zone was evacuated", kv: {
        upstream = upstream.id(),
        zone = upstream.record.zone.as_str(),
    });
    Err(SendFailure::without_answer(UpstreamFailure::RefusedNotRun))
}

/// Fails when the upstream has become cold since the send was planned without a permit.
fn hold_if_cold(core: &RelayCore, planned: &PlannedSend) -> Result<(), SendFailure> {
    let cold_rate = cold_rate(core, &planned.upstream.record, core.clock.now());
    match cold_rate.is_some() && !planned.is_permitted {
        true => Err(SendFailure::without_answer(UpstreamFailure::RefusedNotRun)),
        false => Ok(()),
    }
}
