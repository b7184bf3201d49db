//! Entry of callers' requests.

use std::time::Duration;

use ferry_kernel::http::HttpBody;
use ferry_platform::headers::RequestFacts;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response};
use tokio::time::{Instant, sleep};

use super::{RefusalReason, RelayRefusal, RelayRequest};
use crate::core::LifePhase;
use crate::relay::relay_core::SharedCore;
use crate::relay::run::RelayRun;

/// Age of the rules from which on something unknown to them may be new.
const CURRENT_RULES: Duration = Duration::from_millis(1_600);

/// Time after the start of the process in which requests wait for the rules and upstreams.
const START_TIME: Duration = Duration::from_millis(400);
/// Time between two looks whether they are there.
const START_STEP: Duration = Duration::from_millis(10);

/// Answers one request.
pub async fn handle(core: SharedCore, request: Request<Incoming>) -> Response<HttpBody> {
    let arrived = Instant::now();
    let mut response = match admit(&core, request, arrived).await {
        Ok(request) => RelayRun::new(core.clone(), request).answer().await,
        Err(refusal) => refusal.to_response(),
    };
    if core.phase() != LifePhase::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn admit(
    core: &SharedCore,
    request: Request<Incoming>,
    arrived: Instant,
) -> Result<RelayRequest, RelayRefusal> {
    let facts = RequestFacts::read(request.headers());
    let id = facts.attempt_id.clone();
    await_rules(core).await;
    let result = match check_state(core) {
        Some(reason) => Err(RelayRefusal::not_run(reason)),
        None => read(core, request, facts, arrived).await,
    };
    result.inspect_err(|refusal| {
        metrics::counter!("ferry_relay_refusals_total", "reason" => refusal.reason.name())
            .increment(1);
        spdlog::info!("request refused", kv: {
            request_id = id.unwrap_or_default(),
            reason = refusal.reason.name(),
            status = refusal.status().as_u16(),
            rules_age_ms = core.contact.age().as_millis() as u64,
        });
    })
}

/// Waits a little for the rules and upstreams that a router reads right after its start.
async fn await_rules(core: &SharedCore) {
    while core.clock.elapsed() < START_TIME && check_state(core) == Some(RefusalReason::NotReady) {
        sleep(START_STEP).await;
    }
}

/// Why no request is taken now; nothing when they are.
fn check_state(core: &SharedCore) -> Option<RefusalReason> {
    if core.phase() == LifePhase::Draining {
        return Some(RefusalReason::Stopping);
    }
    let known = core.rules.load().is_some() && core.upstreams.is_listed();
    (!known).then_some(RefusalReason::NotReady)
}

async fn read(
    core: &SharedCore,
    request: Request<Incoming>,
    facts: RequestFacts,
    arrived: Instant,
) -> Result<RelayRequest, RelayRefusal> {
    let rules = core.rules.load_full();
    let rules = rules.ok_or(RelayRefusal::not_run(RefusalReason::NotReady))?;
    let result = RelayRequest::read(request, facts, &rules, arrived).await;
    result.map_err(|refusal| match refusal.reason {
        RefusalReason::UnknownRoute | RefusalReason::UnknownKey
            if core.contact.age() > CURRENT_RULES =>
        {
            RelayRefusal::not_run(RefusalReason::OutOfTouch)
        }
        _ => refusal,
    })
}
