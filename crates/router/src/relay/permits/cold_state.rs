//! Which upstreams are cold as far as this router knows, and the limit that binds while they are.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ferry_decisions::limits::{ColdFacts, ColdSpec, ColdStatement};
use ferry_decisions::names::{HostName, ServiceName};
use ferry_decisions::registry::{UpstreamIncarnation, UpstreamRecord};
use ferry_decisions::time::MonotonicTime;
use ferry_kernel::ticks;

use super::permit_message::PermitPurpose;
use super::permit_metrics;
use super::permit_query::{query, send};
use crate::relay::evacuation::uninformed_time;
use crate::relay::relay_core::{RelayCore, SharedCore};

/// Interval at which it is checked which upstreams are cold.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Cold upstreams with a limit, by identifier.
type LimitedUpstreams = BTreeMap<HostName, (UpstreamIncarnation, ServiceName)>;

/// The limit of an upstream that is cold.
#[derive(Debug, Clone, Copy)]
struct ColdLimit {
    /// Requests per second that the upstream takes from all routers together.
    per_second: f64,
    /// How much longer the upstream is cold.
    left: Duration,
}

/// Requests per second that `upstream` takes from all routers together while it is cold; `None` if it is not, or no limit is configured.
pub fn cold_rate(core: &RelayCore, upstream: &UpstreamRecord, now: MonotonicTime) -> Option<f64> {
    cold_limit(core, upstream, now).map(|limit| limit.per_second)
}

/// The limit of `upstream` while it is cold, by what it stated, because the evacuation of its zone has ended, or because this router can't know whether it
/// has.
fn cold_limit(
    core: &RelayCore,
    upstream: &UpstreamRecord,
    now: MonotonicTime,
) -> Option<ColdLimit> {
    let uninformed_for = uninformed_time(core);
    let facts = ColdFacts {
        stated: core.permits.cold_left(&upstream.incarnation, now),
        ended_age: core.evacuations.ended_age(&upstream.zone, now),
        uninformed_for: uninformed_for
            .filter(|_| !core.permits.has_heard_of(&upstream.incarnation)),
    };
    if facts == ColdFacts::default() {
        return None;
    }
    let spec = cold_spec(core, &upstream.service);
    let left = spec.left(&facts)?;
    let per_second = spec.limit()?;
    Some(ColdLimit { per_second, left })
}

/// Time for which `upstream` gets no request because no permit is expected.
pub fn permit_wait(
    core: &RelayCore,
    upstream: &UpstreamRecord,
    now: MonotonicTime,
) -> Option<Duration> {
    match needs_permit(core, upstream, now) {
        true => core.permits.wait(&upstream.incarnation, now),
        false => None,
    }
}

/// Whether a request may be sent to `upstream` only with a permit.
pub fn needs_permit(core: &RelayCore, upstream: &UpstreamRecord, now: MonotonicTime) -> bool {
    !core.permits.limits(upstream).is_none() || cold_rate(core, upstream, now).is_some()
}

/// Requests per second that `upstream` takes, as far as it has a limit.
pub fn limited_rate(
    core: &RelayCore,
    upstream: &UpstreamRecord,
    now: MonotonicTime,
) -> Option<f64> {
    let rates = [
        core.permits.per_second(upstream),
        cold_rate(core, upstream, now),
    ];
    rates.into_iter().flatten().reduce(f64::min)
}

/// Records what the entry `record`, which was read now, states; returns whether its upstream is cold for longer than was known.
pub fn record_cold_entry(core: &RelayCore, record: &UpstreamRecord, now: MonotonicTime) -> bool {
    let statement = ColdStatement::of_entry(record);
    statement.is_some_and(|statement| {
        core.permits
            .record_cold(&record.incarnation, statement, now)
    })
}

/// Records what an answer of the process `upstream` states: how much longer it is cold, if it is.
pub fn record_cold_answer(
    core: &RelayCore,
    upstream: &UpstreamIncarnation,
    left: Option<Duration>,
    now: MonotonicTime,
) {
    if uninformed_time(core).is_some() {
        core.permits.record_answering(upstream);
    }
    if let Some(left) = left {
        core.permits.record_cold_answer(upstream, left, now);
    }
}

/// What the rules in force say of cold upstreams of `service`.
fn cold_spec(core: &RelayCore, service: &ServiceName) -> ColdSpec {
    let rules = core.rules.load();
    let spec = rules.as_ref().and_then(|rules| rules.service(service));
    spec.map(|spec| spec.cold).unwrap_or_default()
}

/// Logs from when to when cold limits are in force, counts the upstreams that have one, and passes on what upstreams stated in their answers, until the
/// relay closes.
pub async fn watch_cold(core: SharedCore) {
    let mut ticks = ticks::every(CHECK_PERIOD);
    let mut limited = LimitedUpstreams::new();
    loop {
        tokio::select! {
            told = core.permits.take_cold() => {
                core.fleet.feed.wake();
                for upstream in told {
                    tell_zones(&core, &upstream);
                }
            }
            _ = ticks.tick() => {}
        }
        let is_informed = uninformed_time(&core).is_none();
        if is_informed {
            core.permits.forget_answering();
        }
        let has_causes = core.permits.has_cold() || !core.evacuations.is_empty();
        if limited.is_empty() && is_informed && !has_causes {
            continue;
        }
        let now = core.clock.now();
        let before = limited;
        limited = limited_upstreams(&core, &before, now);
        for id in before.keys().filter(|id| !limited.contains_key(*id)) {
            spdlog::info!("limit of a cold upstream ended", kv: { upstream = id.as_str() });
        }
        record_counts(&before, &limited);
        core.permits.expire_cold(now);
    }
}

/// The upstreams that have a limit because they are cold; logs those that are not in `before`.
fn limited_upstreams(
    core: &RelayCore,
    before: &LimitedUpstreams,
    now: MonotonicTime,
) -> LimitedUpstreams {
    let mut limited = LimitedUpstreams::new();
    for upstream in core.upstreams.all_where(|_| true) {
        let record = &upstream.record;
        let Some(limit) = cold_limit(core, record, now) else {
            continue;
        };
        let entry = (record.incarnation.clone(), record.service.clone());
        if before.get(&record.incarnation.id) != Some(&entry) {
            spdlog::info!("limit of a cold upstream in force", kv: {
                upstream = upstream.id(),
                per_second = limit.per_second,
                left_ms = limit.left.as_millis() as u64,
            });
        }
        limited.insert(record.incarnation.id.clone(), entry);
    }
    limited
}

/// Tells the first routers of each availability zone, from which the others get what is known of limits, that an answer of `upstream` says that it is cold.
fn tell_zones(core: &SharedCore, upstream: &UpstreamIncarnation) {
    let settings = core.settings.load();
    let hosts = core.fleet.order().first_of_zones(&settings.zone);
    for host in hosts.into_iter().filter(|host| *host != settings.host) {
        let (core_of_task, upstream) = (core.clone(), upstream.clone());
        core.spawn(async move {
            let query = query(&core_of_task, &upstream, PermitPurpose::Notice);
            if let Err(error) = send(&core_of_task, &host, query).await {
                spdlog::info!("that an upstream is cold was not reported: {}", error, kv: {
                    router = host.as_str(),
                    upstream = upstream.id.as_str(),
                });
            }
        });
    }
}

/// Sets the number of cold upstreams of each service that has or had one.
fn record_counts(before: &LimitedUpstreams, limited: &LimitedUpstreams) {
    let services = before.values().chain(limited.values());
    let services = services.map(|(_, service)| service);
    for service in services.collect::<BTreeSet<_>>() {
        let count = limited.values().filter(|(_, of)| of == service).count();
        permit_metrics::set_cold(service, count);
    }
}
