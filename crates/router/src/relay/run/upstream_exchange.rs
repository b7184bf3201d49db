//! One exchange with an upstream: a request, and the answer up to its head.

use std::error::Error as _;
use std::io::{self, ErrorKind};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::answer::{AnswerStatus, StatusError};
use ferry_decisions::limits::StatedLimits;
use ferry_decisions::names::HostName;
use ferry_decisions::retry::UpstreamFailure;
use ferry_decisions::time::MonotonicTime;
use ferry_kernel::http::BodyFraming;
use ferry_platform::headers::{AnswerFacts, set_time_left};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::body_type::BodyType;
use super::planned_send::PlannedSend;
use super::silence_meter::SilenceMeter;
use super::upstream_send::{OutgoingRequest, SendFailure, UpstreamAnswer, hold_if_evacuated};
use crate::relay::paths::{UpstreamStatement, record_lost_path, tell_router};
use crate::relay::permits::{
    count_brittle_answer, count_brittle_rejection, record_cold_answer, report_rejection,
};
use crate::relay::relay_core::SharedCore;
use crate::relay::upstreams::{InFlightGuard, LinkLease, RelayUpstream, UpstreamLink};
use crate::relay::workload::RunWatch;

/// Time for which the head of an answer is still awaited once nobody waits for the answer. What it says of the upstream binds this
/// router all the same; the run is aborted at the end.
pub const LISTEN_TIME: Duration = Duration::from_millis(200);

/// A request to one upstream, with what is recorded of its answer.
pub(super) struct UpstreamExchange {
    core: SharedCore,
    upstream: Arc<RelayUpstream>,
    outgoing: OutgoingRequest,
    attempt_id: String,
    in_flight: InFlightGuard,
    sent_at: MonotonicTime,
}

impl UpstreamExchange {
    /// An exchange that has not begun.
    pub(super) fn new(
        core: &SharedCore,
        planned: &PlannedSend,
        outgoing: &OutgoingRequest,
        attempt_id: &str,
    ) -> Self {
        let upstream = &planned.upstream;
        let watch = RunWatch::begin(core, upstream, outgoing.run.clone());
        Self {
            core: Arc::clone(core),
            upstream: Arc::clone(upstream),
            outgoing: outgoing.clone(),
            attempt_id: attempt_id.to_owned(),
            in_flight: upstream.begin(planned.permit.clone(), watch),
            sent_at: core.clock.now(),
        }
    }

    /// Sends the request on `link`; if the future is dropped, the answer is heard for [`LISTEN_TIME`].
    pub(super) async fn run(self, link: UpstreamLink) -> Result<UpstreamAnswer, SendFailure> {
        let (mut sender, receiver) = oneshot::channel();
        tokio::spawn(async move {
            let exchange = self.exchange(link);
            tokio::pin!(exchange);
            let result = tokio::select! {
                result = &mut exchange => result,
                () = sender.closed() => {
                    // Only what is recorded of the answer matters.
                    let _ = timeout(LISTEN_TIME, exchange).await;
                    return;
                }
            };
            // Fails if the wait was given up just now; dropping the answer closes its connection.
            let _ = sender.send(result);
        });
        let broken = SendFailure::without_answer(UpstreamFailure::BrokenBeforeAnswer);
        receiver.await.unwrap_or(Err(broken))
    }

    async fn exchange(self, link: UpstreamLink) -> Result<UpstreamAnswer, SendFailure> {
        let mut lease = LinkLease::new(Arc::clone(&self.upstream), link);
        self.core.settle_evacuations().await;
        hold_if_evacuated(&self.core, &self.upstream)?;
        let request = build_request(&self.outgoing)?;
        let permit = self.in_flight.permit();
        if let Some(permit) = permit {
            permit.record_send();
        }
        let silence = SilenceMeter::start();
        lease.link().heads.begin();
        let response = match lease.link().sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                if let Some(permit) = permit.filter(|_| unsent) {
                    permit.record_unsent();
                }
                return Err(self.broken(&lease, unsent, error.error()));
            }
        };
        lease.link().heads.end();
        let may_lack_model = self.may_lack_model();
        let (head, body) = response.into_parts();
        if let Err(reason) = AnswerStatus::try_from(head.status.as_u16()) {
            return Err(self.no_answer(reason));
        }
        let answer = UpstreamAnswer {
            facts: AnswerFacts::read(&head.headers),
            framing: BodyFraming::of(&self.outgoing.method, &head),
            head,
            body,
            silence,
            lease,
            in_flight: self.in_flight,
            upstream: Arc::clone(&self.upstream),
        };
        let failure = classify(&answer, &self.attempt_id, may_lack_model);
        let statements = AnswerStatements {
            core: &self.core,
            upstream: &self.upstream,
            attempt_id: &self.attempt_id,
            sent_at: self.sent_at,
        };
        statements.record(&answer, failure);
        if failure.is_none() && answer.head.status.is_success() {
            answer.in_flight.record_head();
        }
        match failure {
            None => Ok(answer),
            Some(kind) => Err(SendFailure {
                kind,
                answer: (kind == UpstreamFailure::ServerError).then(|| Box::new(answer)),
                detour: None,
            }),
        }
    }

    /// The failure of an exchange in which the upstream sent something else than an answer, of which nothing is believed.
    fn no_answer(&self, reason: StatusError) -> SendFailure {
        spdlog::warn!("upstream sent no answer: {}", reason, kv: {
            request_id = self.attempt_id.as_str(),
            upstream = self.upstream.id(),
        });
        SendFailure::without_answer(UpstreamFailure::MalformedAnswer)
    }

    /// Whether the upstream may be right and sound that refuses the request as misdirected: its caller named a model that the service isn't
    /// known to have.
    fn may_lack_model(&self) -> bool {
        let Some(named) = &self.outgoing.caller_model else {
            return false;
        };
        let rules = self.core.rules.load();
        let service = &self.upstream.record.service;
        let spec = rules.as_ref().and_then(|rules| rules.service(service));
        let known = spec.map(|spec| spec.models.as_slice()).unwrap_or_default();
        known.iter().all(|known| known.model != *named)
    }

    /// The failure of an exchange whose connection broke before the head of the answer.
    fn broken(&self, lease: &LinkLease, unsent: bool, error: &hyper::Error) -> SendFailure {
        let cause = broken_by(error);
        let is_path_lost = cause == ErrorKind::TimedOut || lease.is_tunnel_lost();
        if is_path_lost {
            record_lost_path(&self.core, &self.upstream, lease.detour());
        }
        spdlog::info!("connection to an upstream broke", kv: {
            upstream = self.upstream.id(),
            router = lease.detour().map_or("", HostName::as_str),
            unsent = unsent,
            error:? = cause,
        });
        let is_malformed = error.is_parse() || cause == ErrorKind::InvalidData;
        let kind = match (unsent, is_malformed) {
            (true, _) => UpstreamFailure::ConnectFailed,
            (false, true) => UpstreamFailure::MalformedAnswer,
            (false, false) if is_path_lost => UpstreamFailure::PathLost,
            (false, false) => UpstreamFailure::BrokenBeforeAnswer,
        };
        SendFailure {
            kind,
            answer: None,
            detour: lease.detour().cloned(),
        }
    }
}

/// Records what an answer says of its upstream, whoever waits for it.
struct AnswerStatements<'a> {
    core: &'a SharedCore,
    upstream: &'a Arc<RelayUpstream>,
    attempt_id: &'a str,
    sent_at: MonotonicTime,
}

impl AnswerStatements<'_> {
    /// Records load, limits, pause, leaving and rejection; `failure` is how the answer failed.
    fn record(&self, answer: &UpstreamAnswer, failure: Option<UpstreamFailure>) {
        let (core, upstream, facts) = (self.core, self.upstream, &answer.facts);
        let now = core.clock.now();
        let incarnation = &upstream.record.incarnation;
        let stated = StatedLimits {
            per_second: facts.limit,
            rejections: facts.rejections,
        };
        core.permits
            .record_answer(&upstream.record, stated, self.sent_at, now);
        // An answer that refuses the request as misdirected may be of another upstream at the address.
        let is_other = failure == Some(UpstreamFailure::Leaving);
        if !is_other {
            record_cold_answer(core, incarnation, facts.cold, now);
        }
        if let Some(load) = facts.load.filter(|_| failure.is_none()) {
            upstream.record_load(load, now);
            core.load.record_contention(upstream, load.contention, now);
        }
        if facts.leaves && !upstream.is_leaving() {
            spdlog::info!("upstream says that it leaves", kv: { upstream = upstream.id() });
        }
        if facts.leaves || failure == Some(UpstreamFailure::Leaving) {
            upstream.mark_leaving();
        }
        let is_rejected = failure == Some(UpstreamFailure::QueueFull);
        if facts.rejections.is_some() {
            let (service, permit) = (&upstream.record.service, answer.in_flight.permit());
            count_brittle_answer(service, permit.is_some());
            if is_rejected {
                count_brittle_rejection(service, permit.is_some());
            }
        }
        if is_rejected {
            upstream.record_rejection(now);
        }
        match answer.in_flight.permit() {
            Some(permit) if is_rejected => permit.record_rejection(facts.load),
            Some(permit) => permit.record_head(facts.load, answer.body_type() == BodyType::Events),
            None if is_rejected => report_rejection(core, upstream),
            None => {}
        }
        let is_unavailable = answer.head.status == StatusCode::SERVICE_UNAVAILABLE;
        let pause = facts.pause.filter(|_| is_unavailable);
        if let Some(pause) = pause {
            upstream.pause(pause);
            spdlog::info!("upstream asks for a pause", kv: {
                request_id = self.attempt_id,
                upstream = upstream.id(),
                pause_ms = pause.as_millis() as u64,
            });
        }
        if let Some(router) = answer.lease.detour()
            && (facts.leaves || pause.is_some())
        {
            let statement = UpstreamStatement {
                upstream: incarnation.clone(),
                leaves: facts.leaves,
                pause: pause.unwrap_or_default(),
            };
            tell_router(core, router.clone(), statement);
        }
    }
}

/// Kind of the I/O error that broke a connection; `Other` if it broke for another reason.
fn broken_by(error: &hyper::Error) -> ErrorKind {
    let cause = error.source();
    let cause = cause.and_then(|cause| cause.downcast_ref::<io::Error>());
    cause.map_or(ErrorKind::Other, io::Error::kind)
}

/// The request as it is sent now.
///
/// # Errors
///
/// Fails when its time is over, or its target is malformed.
fn build_request(outgoing: &OutgoingRequest) -> Result<Request<Full<Bytes>>, SendFailure> {
    let expired = SendFailure::without_answer(UpstreamFailure::RefusedNotRun);
    let time_left = outgoing.time_left().ok_or(expired)?;
    let mut request = Request::builder()
        .method(outgoing.method.clone())
        .uri(outgoing.target.as_str())
        .body(Full::new(outgoing.body.clone()))
        .map_err(|_| SendFailure::without_answer(UpstreamFailure::BadRequest))?;
    *request.headers_mut() = outgoing.headers.clone();
    set_time_left(request.headers_mut(), time_left);
    Ok(request)
}

/// Reason why an answer cannot be forwarded as it is; `None` when it can.
///
/// An upstream may write an answer once more, where the next one is expected. Whatever it says, it says of another request. One that refuses a
/// request as misdirected isn't the one that the request is for, unless it `may_lack_model`: then the caller alone may be wrong.
fn classify(
    answer: &UpstreamAnswer,
    attempt_id: &str,
    may_lack_model: bool,
) -> Option<UpstreamFailure> {
    let (status, facts) = (answer.head.status, &answer.facts);
    let is_own = match facts.attempt_id.as_deref() {
        Some(named) => named == attempt_id,
        // Only the first answer on a connection cannot belong to an earlier request.
        None => !answer.lease.is_reused(),
    };
    if !is_own {
        return Some(UpstreamFailure::MalformedAnswer);
    }
    match status {
        StatusCode::MISDIRECTED_REQUEST if may_lack_model => {
            return Some(UpstreamFailure::UnknownModel);
        }
        StatusCode::MISDIRECTED_REQUEST => return Some(UpstreamFailure::Leaving),
        _ if facts.not_run && status == StatusCode::BAD_REQUEST => {
            return Some(UpstreamFailure::BadRequest);
        }
        _ if facts.not_run && !status.is_success() => return Some(UpstreamFailure::QueueFull),
        _ => {}
    }
    if !facts.signed || facts.attempt_id.is_none() {
        return Some(UpstreamFailure::MalformedAnswer);
    }
    status
        .is_server_error()
        .then_some(UpstreamFailure::ServerError)
}
