//! Answers other routers that ask for permits or report what became of them.

use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::limits::{
    ColdAllowance, RoomQuery, StatedLimits, fixed_issuers, is_first_issuer,
};
use ferry_decisions::names::{HostName, ServiceName};
use ferry_decisions::registry::{UpstreamIncarnation, UpstreamRecord};

use super::LimitNews;
use super::cold_state::cold_rate;
use super::permit_issuer::IssueQuery;
use super::permit_message::{
    PermitAnswer, PermitDetails, PermitPurpose, PermitQuery, PermitReport,
};
use crate::peer::PeerMessage;
use crate::relay::fleet::{read_body, write_body};
use crate::relay::relay_core::RelayCore;

/// Lifetime, in milliseconds, of a permit of a router of an older build, which reports no ends.
const UNREPORTED_LIFETIME_MS: u64 = 1_000;
/// Time after the start of this router in which others may still issue the permits that are its own to issue.
const TAKE_OVER_TIME: Duration = Duration::from_secs(3);
/// Time after which a permit of a cold upstream is asked for again if this router may not issue it.
const NOT_ISSUER_WAIT: Duration = Duration::from_millis(500);

/// Answer of an issuer to a query.
#[derive(Debug, Clone, Copy)]
pub struct IssuerAnswer {
    /// Time after which to ask again; absent if the permit is issued.
    pub wait: Option<Duration>,
    /// Requests per second that the upstream, which is brittle, has answered lately.
    pub per_second: Option<f64>,
    /// Whether the issuer keeps the limits of cold upstreams.
    pub keeps_cold: bool,
}

/// The upstream of a query.
#[derive(Debug, Clone, Copy)]
pub struct AskedUpstream<'a> {
    /// Its process.
    pub incarnation: &'a UpstreamIncarnation,
    /// Its service, if the asking router named it.
    pub service: Option<&'a ServiceName>,
    /// Requests per second that it takes while it is cold; absent if the asking router does not know it to be.
    pub cold_per_second: Option<f64>,
}

/// Answers a query for a permit, or a report.
pub fn answer_query(core: &RelayCore, message: &PeerMessage) -> Option<Bytes> {
    let query: PermitQuery = read_body(message, "query for a permit")?;
    let now = core.clock.now();
    let upstream = query.notice.upstream.clone();
    let service = query.notice.service.clone();
    let news = LimitNews {
        limits: vec![query.notice],
        brittle: Vec::new(),
    };
    core.permits.merge(news, now);
    record_reports(core, &message.from, &query.reports);
    let wait = match query.purpose {
        PermitPurpose::Permit => {
            let asked = AskedUpstream {
                incarnation: &upstream,
                service: service.as_ref(),
                cold_per_second: query.cold_per_second,
            };
            issue(core, &message.from, asked, query.details).wait
        }
        PermitPurpose::Rejection => {
            let mut permits = core.permits.issuer().lock();
            permits.record_rejection(&upstream, now);
            None
        }
        PermitPurpose::Notice => None,
    };
    let answer = PermitAnswer {
        notice: core.permits.notice(&upstream, now),
        wait_ms: wait.map(|wait| wait.as_millis() as u64),
        per_second: core.permits.issuer().lock().per_second(&upstream),
        keeps_cold: true,
    };
    write_body(&answer, "an answer to a router")
}

fn record_reports(core: &RelayCore, router: &HostName, reports: &[PermitReport]) {
    let now = core.clock.now();
    let mut permits = core.permits.issuer().lock();
    for report in reports {
        permits.record_report(router, report, now);
    }
}

/// Issues a permit of this router to `router`.
pub fn issue(
    core: &RelayCore,
    router: &HostName,
    asked: AskedUpstream<'_>,
    details: Option<PermitDetails>,
) -> IssuerAnswer {
    let now = core.clock.now();
    let upstream = asked.incarnation;
    let listed = core.upstreams.find(&upstream.id);
    let listed = listed.filter(|listed| listed.record.incarnation == *upstream);
    let listed = listed.as_ref().map(|listed| &listed.record);
    let limits = known_limits(core, upstream, listed);
    let host = core.settings.load().host.clone();
    let hosts = core.fleet.hosts();
    let is_substitute = !is_first_issuer(upstream, &hosts, &host);
    let known_rate = listed.and_then(|record| cold_rate(core, record, now));
    let rates = asked.cold_per_second.into_iter().chain(known_rate);
    let cold_per_second = rates.reduce(f64::min);
    if cold_per_second.is_some() && !is_cold_issuer(core, upstream, &hosts, &host) {
        return IssuerAnswer {
            wait: Some(NOT_ISSUER_WAIT),
            per_second: None,
            keeps_cold: true,
        };
    }
    let details = details.or_else(|| unreported_details(core, limits, listed));
    let room = details.map(|details| RoomQuery {
        key: (router.clone(), details.number),
        survived: details.survived,
        slots: details.slots,
        lifetime: Duration::from_millis(details.lifetime_ms),
        is_substitute,
    });
    let service = listed.map(|record| &record.service).or(asked.service);
    let unknown = ServiceName::new("");
    let query = IssueQuery {
        upstream,
        service: service.unwrap_or(&unknown),
        per_second: limits.per_second,
        cold: cold_per_second.map(|rate| cold_allowance(core, rate)),
        room: room.as_ref(),
        load: details.and_then(|details| details.load),
        is_only: !is_substitute && core.clock.elapsed() >= TAKE_OVER_TIME,
    };
    let mut permits = core.permits.issuer().lock();
    IssuerAnswer {
        wait: permits.issue(&query, now).err(),
        per_second: permits.per_second(upstream),
        keeps_cold: true,
    }
}

/// Whether this router, `own`, issues the permits of `upstream` while it is cold; never before the other routers are known.
fn is_cold_issuer(
    core: &RelayCore,
    upstream: &UpstreamIncarnation,
    hosts: &[HostName],
    own: &HostName,
) -> bool {
    core.fleet.confirmed_count().is_some() && fixed_issuers(upstream, hosts).contains(&own)
}

/// What this router may issue for a cold upstream that takes `per_second` requests per second.
fn cold_allowance(core: &RelayCore, per_second: f64) -> ColdAllowance {
    core.settings.load().bounds.cold.allowance(per_second)
}

/// Limits of `upstream`: those of its service if it is `listed`, and those that other routers told of it.
fn known_limits(
    core: &RelayCore,
    upstream: &UpstreamIncarnation,
    listed: Option<&UpstreamRecord>,
) -> StatedLimits {
    let heard = core.permits.notice(upstream, core.clock.now()).stated;
    let Some(record) = listed else {
        return heard;
    };
    let limits = core.permits.limits(record);
    StatedLimits {
        per_second: limits.per_second.or(heard.per_second),
        ..limits
    }
}

/// Details of a permit that a router of an older build asks for, which sends none; `None` if the upstream is not brittle.
fn unreported_details(
    core: &RelayCore,
    limits: StatedLimits,
    listed: Option<&UpstreamRecord>,
) -> Option<PermitDetails> {
    Some(PermitDetails {
        number: core.permits.next_number(),
        survived: limits.rejections?,
        slots: listed.map_or(1, |record| record.slots),
        lifetime_ms: UNREPORTED_LIFETIME_MS,
        load: None,
    })
}
