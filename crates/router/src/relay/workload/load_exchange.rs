//! Reports the figures of this router, and exchanges the sums of groups with other pool hosts.

use std::time::Duration;

use ferry_decisions::names::HostName;
use ferry_decisions::time::MonotonicTime;
use ferry_decisions::workload::{UpstreamWorkRow, read_rows};
use futures::future::join_all;
use rand::Rng;
use tokio::time::sleep;

use super::demand_exchange::{merge_group_demand, own_demand, record_demand_answer};
use super::load_message::{LoadAnswer, LoadQuery, LoadReport};
use super::load_metrics;
use super::load_reply::{encode_group, encode_rows, group_report, own_group};
use crate::peer::{PeerError, PeerTopic};
use crate::relay::relay_core::{RelayCore, SharedCore};
use crate::relay::upstreams::RelayUpstream;

/// Longest time between two reports. A router hears of the work of another one after two periods at most, which is below a second.
const PERIOD: Duration = Duration::from_millis(450);
/// Shortest period, as a part of the longest; the random part spreads the reports of routers that start together.
const MIN_PERIOD: f64 = 0.8;
/// Number of reports between two exchanges of the sums of groups. Whole sums of 140 upstreams take 2.2 KB; with each report, a pool host of 70 routers would
/// send 40 KB a second of them.
const EXCHANGE_ROUNDS: u64 = 2;
/// Number of pool hosts that are asked for one report.
const MAX_QUERIES: usize = 2;
/// Age up to which a load or a slowness sample is reported: three reports have it, so that it arrives although one is lost.
const SAMPLE_AGE: Duration = Duration::from_millis(1_400);

/// Exchanges figures until the relay closes.
pub async fn follow(core: SharedCore) {
    for round in 0_u64.. {
        let part = rand::rng().random_range(MIN_PERIOD..1.0);
        sleep(PERIOD.mul_f64(part)).await;
        let is_sharing = has_contended_engines(&core) && core.fleet.router_count() > 1;
        core.load.set_sharing(is_sharing);
        core.load.pool().lock().expire(core.clock.now());
        core.load.shares().expire(core.clock.now());
        if is_sharing {
            let exchange = async {
                if round.is_multiple_of(EXCHANGE_ROUNDS) {
                    exchange_groups(&core).await;
                }
            };
            tokio::join!(report(&core), exchange);
            learn_contention(&core);
            if let Some(age) = core.load.mean_age(core.clock.now()) {
                load_metrics::record_age(age);
            }
        }
    }
}

/// Figures of this router at the upstreams where it has requests, or has heard of a load or a slowness a moment ago.
pub(super) fn own_rows(core: &RelayCore, now: MonotonicTime) -> Vec<UpstreamWorkRow> {
    let upstreams = core
        .upstreams
        .all_where(|upstream| has_engine(core, upstream));
    let rows = upstreams.iter().map(|upstream| own_row(upstream, now));
    rows.filter(|row| row.requests > 0 || row.samples > 0.0 || row.load.is_some())
        .collect()
}

fn own_row(upstream: &RelayUpstream, now: MonotonicTime) -> UpstreamWorkRow {
    let slowness = upstream.slowness();
    let is_new = now.since(slowness.sampled_at()) < SAMPLE_AGE && slowness.is_known(now);
    UpstreamWorkRow {
        upstream: upstream.record.incarnation.clone(),
        work_ms: upstream
            .own_work(now)
            .as_millis()
            .try_into()
            .unwrap_or(u32::MAX),
        requests: upstream.in_flight(),
        slowness: slowness.mean(),
        samples: if is_new { slowness.samples(now) } else { 0.0 },
        load: upstream.work_load(SAMPLE_AGE, now),
    }
}

/// Whether the configuration lists models of the service of `upstream`.
fn has_engine(core: &RelayCore, upstream: &RelayUpstream) -> bool {
    let rules = core.rules.load();
    let service = rules
        .as_ref()
        .and_then(|rules| rules.service(&upstream.record.service));
    service.is_some_and(|service| !service.models.is_empty())
}

/// Whether engines state how contended their machines are: where they do, counts of requests say too little of the work.
fn has_contended_engines(core: &RelayCore) -> bool {
    let states_contention = |upstream: &RelayUpstream| {
        let load = upstream.reported_load();
        load.is_some_and(|(load, _)| load.contention.is_some()) && has_engine(core, upstream)
    };
    !core.upstreams.all_where(states_contention).is_empty()
}

/// Learns from the contention that upstreams stated in answers to other routers.
fn learn_contention(core: &RelayCore) {
    let now = core.clock.now();
    let upstreams = core
        .upstreams
        .all_where(|upstream| has_engine(core, upstream));
    for upstream in upstreams {
        let view = core.load.view(&upstream.record.incarnation, now);
        if let Some(load) = view.load {
            core.load
                .record_contention(&upstream, load.contention, load.stated_at(now));
        }
    }
}

/// Reports the figures of this router to a pool host, or to the next one if that does not answer.
async fn report(core: &SharedCore) {
    let own = core.settings.load().host.clone();
    for _ in 0..MAX_QUERIES {
        let hosts = core.fleet.hosts();
        let now = core.clock.now();
        let host = core.load.choice().lock().choose(&own, &hosts, now).clone();
        if core.load.set_pool_host(&host, &own) {
            spdlog::info!("router that pools the reports of load", kv: { router = host.as_str() });
        }
        if host == own {
            return;
        }
        let rows = own_rows(core, now);
        load_metrics::count_reported(rows.len());
        let query = LoadQuery {
            is_group: false,
            report: LoadReport {
                sequence: core.load.next_sequence(),
                rows: encode_rows(&rows),
                demand: Some(own_demand(core, now)),
                ..LoadReport::default()
            },
            known: core.load.known_answer(&host),
        };
        let Some((answer, rows)) = send(core, &host, query).await else {
            continue;
        };
        let now = core.clock.now();
        record_demand_answer(core, &host, &answer.report, now);
        core.load
            .record_answer(&host, &answer.report, rows, answer.is_whole, now);
        return;
    }
}

/// Exchanges the sums of groups with the other pool hosts, if this router pools reports.
async fn exchange_groups(core: &SharedCore) {
    let now = core.clock.now();
    let own = core.settings.load().host.clone();
    let is_pool_host = core.load.pool_host().as_ref() == Some(&own);
    if !is_pool_host && !core.load.pool().lock().has_members(now) {
        return;
    }
    let hosts = core.fleet.hosts();
    let choice = core.load.choice().lock().clone();
    let partners = choice.partners(&own, &hosts, now);
    if partners.is_empty() {
        return;
    }
    let group = own_group(core, now);
    let exchanges = partners.into_iter().map(async |partner| {
        let query = LoadQuery {
            is_group: true,
            report: encode_group(core, &group, now),
            known: 0,
        };
        if let Some((answer, rows)) = send(core, partner, query).await {
            let report = group_report(&answer.report, rows);
            let now = core.clock.now();
            core.load.pool().lock().merge_group(partner, report, now);
            merge_group_demand(core, partner, &answer.report, now);
        }
    });
    join_all(exchanges).await;
}

/// Sends `query` to `host`; returns its answer and the rows in it. A host that doesn't answer is left out for a while.
async fn send(
    core: &SharedCore,
    host: &HostName,
    query: LoadQuery,
) -> Option<(LoadAnswer, Vec<UpstreamWorkRow>)> {
    let kind = if query.is_group { "group" } else { "report" };
    load_metrics::count_rows(kind, query.report.rows.len());
    let error = match core.fleet.ask_briefly(host, PeerTopic::Load, query).await {
        Ok(answer) => return read_answer(core, host, answer),
        Err(error) => error,
    };
    let now = core.clock.now();
    let mut choice = core.load.choice().lock();
    let outcome = match error {
        PeerError::Unanswered(_) => {
            choice.record_unknowing(host, now);
            "unknown"
        }
        _ => {
            choice.record_silence(host, now);
            "unanswered"
        }
    };
    drop(choice);
    load_metrics::count_query(outcome);
    spdlog::info!("the router that pools the reports of load did not answer: {}", error, kv: { router = host.as_str() });
    None
}

/// The answer of `host` with its rows; a host whose rows cannot be read is left out for a while, like one that knows none.
fn read_answer(
    core: &RelayCore,
    host: &HostName,
    answer: LoadAnswer,
) -> Option<(LoadAnswer, Vec<UpstreamWorkRow>)> {
    let ids = core.upstreams.short_ids();
    match read_rows(&answer.report.rows, |id| ids.get(&id).cloned()) {
        Ok(rows) => {
            load_metrics::count_query("answered");
            Some((answer, rows))
        }
        Err(error) => {
            load_metrics::count_query("unknown");
            let now = core.clock.now();
            core.load.choice().lock().record_unknowing(host, now);
            spdlog::warn!("invalid answer about load ignored: {}", error, kv: { router = host.as_str() });
            None
        }
    }
}
