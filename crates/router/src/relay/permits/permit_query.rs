//! Asks for permits, and reports what became of them.

use std::time::Duration;

use ferry_decisions::names::HostName;
use ferry_decisions::registry::UpstreamIncarnation;

use super::LimitNews;
use super::cold_state::{cold_rate, needs_permit, permit_wait};
use super::permit_message::{PermitAnswer, PermitDetails, PermitPurpose, PermitQuery};
use super::permit_metrics::{self, QueryEnd};
use super::permit_reply::{AskedUpstream, IssuerAnswer, issue};
use super::send_permit::{SendPermit, stated_load};
use crate::peer::{PeerError, PeerTopic};
use crate::relay::relay_core::{RelayCore, SharedCore};
use crate::relay::upstreams::RelayUpstream;

/// Number of routers that are asked for one permit.
const MAX_QUERIES: usize = 2;
/// Time after which a permit is asked for again if no router answered.
const NO_ANSWER_WAIT: Duration = Duration::from_millis(500);
/// Time that a permit outlives its request, in which the upstream may still answer it.
const EXTRA_LIFETIME: Duration = Duration::from_millis(500);

/// The upstream has no permit for the request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the upstream takes no request now; choose another one")]
pub struct NoPermit;

/// Takes a permit to send a request to `upstream`; without one the upstream is left out until one is expected. Returns no permit to hold if the
/// upstream needs none, or none whose end matters.
///
/// `time_left` gives the time that is left for the request; it is read whenever a router is asked, since the turn to ask is waited for.
///
/// # Errors
///
/// Fails when the request may not be sent there now.
pub async fn take_permit(
    core: &SharedCore,
    upstream: &RelayUpstream,
    time_left: impl Fn() -> Duration,
) -> Result<Option<SendPermit>, NoPermit> {
    let record = &upstream.record;
    if !needs_permit(core, record, core.clock.now()) {
        return Ok(None);
    }
    let lock = core.permits.ask_lock(&record.incarnation);
    let _asking = lock.lock().await;
    if time_left().is_zero() || permit_wait(core, record, core.clock.now()).is_some() {
        return Err(NoPermit);
    }
    let postpone = |wait| {
        let until = core.clock.now().after(wait);
        core.permits.postpone(&record.incarnation, until);
        if cold_rate(core, record, core.clock.now()).is_some() {
            permit_metrics::count_cold_refusal(&record.service);
        }
        Err(NoPermit)
    };
    for _ in 0..MAX_QUERIES {
        let cold_per_second = cold_rate(core, record, core.clock.now());
        let issuer = match cold_per_second {
            Some(_) => choose_cold_issuer(core, &record.incarnation),
            None => choose_issuer(core, &record.incarnation),
        };
        let Some(issuer) = issuer else {
            break;
        };
        if core.permits.record_issuer(&record.incarnation, &issuer) {
            permit_metrics::count_issuer_change(&record.service);
        }
        let details = permit_details(core, upstream, time_left());
        // Ends the permit if the wait for it is given up, or its answer is lost.
        let permit = details.map(|details| open_permit(core, &issuer, upstream, details));
        match ask_for_permit(core, &issuer, upstream, details, cold_per_second).await {
            Ok(answer) => {
                if let Some(per_second) = answer.per_second {
                    core.permits.record_rate(&record.incarnation, per_second);
                }
                // The limit may have begun while the answer was on its way.
                let is_cold = cold_rate(core, record, core.clock.now()).is_some();
                if answer.wait.is_none() && is_cold && !answer.keeps_cold {
                    // The issuer is of an older build. Dropping the permit reports that it is not used.
                    return postpone(NO_ANSWER_WAIT);
                }
                if answer.wait.is_none() && is_cold && cold_per_second.is_none() {
                    // The issuer was not asked to keep the limit of a cold upstream; the next query asks for that.
                    continue;
                }
                let Some(wait) = answer.wait else {
                    permit_metrics::count_query(&record.service, QueryEnd::Issued);
                    return Ok(permit);
                };
                permit_metrics::count_query(&record.service, QueryEnd::Refused);
                if let Some(permit) = permit {
                    permit.record_refusal();
                }
                return postpone(wait);
            }
            Err(error) => {
                permit_metrics::count_query(&record.service, QueryEnd::Unanswered);
                core.permits.record_unreachable(&issuer, core.clock.now());
                spdlog::info!("no permit from another router: {}", error, kv: {
                    router = issuer.as_str(),
                    upstream = upstream.id(),
                });
            }
        }
    }
    postpone(NO_ANSWER_WAIT)
}

/// The permit with `details` that `issuer` is asked for now.
fn open_permit(
    core: &SharedCore,
    issuer: &HostName,
    upstream: &RelayUpstream,
    details: PermitDetails,
) -> SendPermit {
    let lifetime = Duration::from_millis(details.lifetime_ms);
    let until = core.clock.now().after(lifetime);
    let incarnation = upstream.record.incarnation.clone();
    SendPermit::new(
        core.clone(),
        issuer.clone(),
        incarnation,
        details.number,
        until,
    )
}

/// Reports limits that ended by an answer to this router to the routers that issue their permits, until the relay closes.
pub async fn report_ends(core: SharedCore) {
    loop {
        for upstream in core.permits.take_ended().await {
            let host = choose_issuer(&core, &upstream);
            let Some(host) = host.filter(|host| *host != core.settings.load().host) else {
                continue;
            };
            let query = query(&core, &upstream, PermitPurpose::Notice);
            if let Err(error) = send(&core, &host, query).await {
                // The next router that gets a permit hears it from the upstream, and reports it.
                spdlog::info!("the end of a limit was not reported: {}", error, kv: {
                    router = host.as_str(),
                    upstream = upstream.id.as_str(),
                });
            }
        }
    }
}

/// Reports that `upstream` rejected a request that was sent without a permit for want of room to the router that issues its permits, if
/// rejections endanger it.
pub fn report_rejection(core: &SharedCore, upstream: &RelayUpstream) {
    let record = &upstream.record;
    if core.permits.limits(record).rejections.is_none() {
        return;
    }
    let Some(host) = choose_issuer(core, &record.incarnation) else {
        return;
    };
    if host == core.settings.load().host {
        let mut permits = core.permits.issuer().lock();
        permits.record_rejection(&record.incarnation, core.clock.now());
        return;
    }
    let (core_of_task, upstream) = (core.clone(), record.incarnation.clone());
    core.spawn(async move {
        let query = query(&core_of_task, &upstream, PermitPurpose::Rejection);
        if let Err(error) = send(&core_of_task, &host, query).await {
            core_of_task.permits.record_unreachable(&host, core_of_task.clock.now());
            spdlog::info!("a rejection was not reported: {}", error, kv: { router = host.as_str(), upstream = upstream.id.as_str() });
        }
    });
}

/// Details of a permit for `upstream`; `None` if it is not brittle.
fn permit_details(
    core: &RelayCore,
    upstream: &RelayUpstream,
    time_left: Duration,
) -> Option<PermitDetails> {
    let survived = core.permits.limits(&upstream.record).rejections?;
    let now = core.clock.now();
    let load = upstream.reported_load();
    let load = load.map(|(facts, at)| stated_load(facts, now.since(at).as_millis() as u64));
    Some(PermitDetails {
        number: core.permits.next_number(),
        survived,
        slots: upstream.record.slots,
        lifetime_ms: (time_left + EXTRA_LIFETIME).as_millis() as u64,
        load,
    })
}

/// The router that issues the permits of `upstream`; this one if no other is known.
fn choose_issuer(core: &SharedCore, upstream: &UpstreamIncarnation) -> Option<HostName> {
    let mut hosts = core.fleet.hosts();
    if hosts.is_empty() {
        hosts.push(core.settings.load().host.clone());
    }
    core.permits
        .issuer_of(upstream, &hosts, core.clock.now())
        .cloned()
}

/// The router that issues the permits of `upstream`, which is cold; `None` unless the other routers are known, so that all routers ask the same one.
fn choose_cold_issuer(core: &SharedCore, upstream: &UpstreamIncarnation) -> Option<HostName> {
    core.fleet.confirmed_count()?;
    let hosts = core.fleet.hosts();
    core.permits
        .fixed_issuer_of(upstream, &hosts, core.clock.now())
        .cloned()
}

async fn ask_for_permit(
    core: &SharedCore,
    issuer: &HostName,
    upstream: &RelayUpstream,
    details: Option<PermitDetails>,
    cold_per_second: Option<f64>,
) -> Result<IssuerAnswer, PeerError> {
    let incarnation = &upstream.record.incarnation;
    if *issuer == core.settings.load().host {
        let asked = AskedUpstream {
            incarnation,
            service: Some(&upstream.record.service),
            cold_per_second,
        };
        return Ok(issue(core, issuer, asked, details));
    }
    let query = PermitQuery {
        details,
        cold_per_second,
        ..query(core, incarnation, PermitPurpose::Permit)
    };
    let answer = send(core, issuer, query).await?;
    Ok(IssuerAnswer {
        wait: answer.wait_ms.map(Duration::from_millis),
        per_second: answer.per_second,
        keeps_cold: answer.keeps_cold,
    })
}

/// A query about `upstream` without details and reports.
pub(super) fn query(
    core: &RelayCore,
    upstream: &UpstreamIncarnation,
    purpose: PermitPurpose,
) -> PermitQuery {
    PermitQuery {
        notice: core.permits.notice(upstream, core.clock.now()),
        purpose,
        details: None,
        reports: Vec::new(),
        cold_per_second: None,
    }
}

/// Sends `query` to `host`, and merges what it answers of the limit.
pub(super) async fn send(
    core: &SharedCore,
    host: &HostName,
    query: PermitQuery,
) -> Result<PermitAnswer, PeerError> {
    let answer: PermitAnswer = core
        .fleet
        .ask_briefly(host, PeerTopic::Permits, query)
        .await?;
    core.permits.record_reachable(host);
    let news = LimitNews {
        limits: vec![answer.notice.clone()],
        brittle: Vec::new(),
    };
    core.permits.merge(news, core.clock.now());
    Ok(answer)
}
