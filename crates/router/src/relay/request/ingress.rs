//! Entry point of callers' requests: admission, then the run that answers them.

use std::time::Duration;

use ferry_kernel::http::HttpBody;
use ferry_kernel::panics;
use ferry_platform::headers::{RequestFacts, attempt_id};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response};
use tokio::time::{Instant, sleep};

use super::{RefusalReason, RelayRefusal, RelayRequest};
use crate::core::LifecyclePhase;
use crate::relay::relay_core::SharedCore;
use crate::relay::run::RelayRun;

/// Age of the rules beyond which a request with an unknown route or key is refused as `Disconnected`,
/// since the route or key may have been added after the rules were confirmed.
const MAX_RULES_AGE: Duration = Duration::from_millis(1_600);

/// Time after the start of the process during which requests wait for the rules and upstreams to be read.
const START_TIMEOUT: Duration = Duration::from_millis(700);
/// Period at which waiting requests check whether the rules and upstreams are available.
const START_POLL_PERIOD: Duration = Duration::from_millis(10);

/// Answers one request, with an upstream's answer or with a refusal.
///
/// Once the relay no longer serves, responses close the caller's connection.
/// A panic costs this request only.
pub async fn handle(core: SharedCore, request: Request<Incoming>) -> Response<HttpBody> {
    let id = attempt_id(request.headers()).map(str::to_owned);
    let answered = panics::caught(answer(&core, request)).await;
    let mut response = answered.unwrap_or_else(|| {
        let refusal = RelayRefusal::router_failed();
        report_refusal(&core, id.unwrap_or_default().as_str(), &refusal);
        refusal.to_response()
    });
    if core.phase() != LifecyclePhase::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn answer(core: &SharedCore, request: Request<Incoming>) -> Response<HttpBody> {
    match admit(core, request).await {
        Ok(request) => RelayRun::new(core.clone(), request).answer().await,
        Err(refusal) => refusal.to_response(),
    }
}

async fn admit(
    core: &SharedCore,
    request: Request<Incoming>,
) -> Result<RelayRequest, RelayRefusal> {
    let read_at = Instant::now();
    let facts = RequestFacts::read(request.headers());
    let id = facts.attempt_id.clone();
    await_rules(core).await;
    let result = match check_state(core) {
        Some(reason) => Err(RelayRefusal::not_run(reason)),
        None => read(core, request, facts, read_at).await,
    };
    result.inspect_err(|refusal| report_refusal(core, id.unwrap_or_default().as_str(), refusal))
}

/// Counts and logs the refusal of the request `id`.
fn report_refusal(core: &SharedCore, id: &str, refusal: &RelayRefusal) {
    metrics::counter!("ferry_relay_refusals_total", "reason" => refusal.reason.name()).increment(1);
    spdlog::info!("request refused", kv: {
        request_id = id,
        reason = refusal.reason.name(),
        status = refusal.status().as_u16(),
        revision = core.revision_in_force().unwrap_or_default(),
        rules_age_ms = core.operator_topic.age().as_millis() as u64,
        synced = core.fleet.is_synced_from_peer(),
    });
}

/// Waits, within `START_TIMEOUT` of the start, until the rules and upstreams have been read.
async fn await_rules(core: &SharedCore) {
    while core.clock.elapsed() < START_TIMEOUT && check_state(core) == Some(RefusalReason::NotReady)
    {
        sleep(START_POLL_PERIOD).await;
    }
}

/// Reason to refuse every request now; `None` when requests are accepted.
pub fn check_state(core: &SharedCore) -> Option<RefusalReason> {
    if core.phase() == LifecyclePhase::Draining {
        return Some(RefusalReason::Stopping);
    }
    let known = core.rules.load().is_some()
        && core.operator_topic.was_confirmed()
        && core.upstreams.is_listed()
        && core.knows_crashes();
    (!known).then_some(RefusalReason::NotReady)
}

async fn read(
    core: &SharedCore,
    request: Request<Incoming>,
    facts: RequestFacts,
    read_at: Instant,
) -> Result<RelayRequest, RelayRefusal> {
    let rules = core.rules.load_full();
    let rules = rules.ok_or(RelayRefusal::not_run(RefusalReason::NotReady))?;
    let reading = RelayRequest::read(request, facts, &rules, &core.request_memory, read_at);
    let result = core.work_end.run(reading).await;
    let result = result.map_err(RelayRefusal::not_run).flatten();
    result.map_err(|refusal| match refusal.reason {
        RefusalReason::UnknownRoute | RefusalReason::UnknownKey if may_be_outdated(core) => {
            RelayRefusal::not_run(RefusalReason::Disconnected)
        }
        _ => refusal,
    })
}

/// Whether a route or key that is not known here may have been added since.
fn may_be_outdated(core: &SharedCore) -> bool {
    core.operator_topic.missing().is_some() || core.operator_topic.age() > MAX_RULES_AGE
}
