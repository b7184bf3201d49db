//! Answers to the reports of other routers.

use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::time::MonotonicTime;
use ferry_decisions::workload::{
    GroupReport, UpstreamWorkRow, member_id, read_rows, short_id, write_row,
};

use super::demand_exchange::{answer_demand, group_demand, merge_group_demand};
use super::load_exchange::own_rows;
use super::load_message::{LoadAnswer, LoadQuery, LoadReport};
use super::load_metrics;
use crate::peer::PeerMessage;
use crate::relay::fleet::{read_body, write_body};
use crate::relay::relay_core::RelayCore;

/// Age up to which the figures of this router itself are used again for an answer.
const OWN_ROWS_AGE: Duration = Duration::from_millis(100);

/// Answers a report of another router. Also while this router exchanges nothing itself: it may have just started.
pub fn answer_query(core: &RelayCore, message: &PeerMessage) -> Option<Bytes> {
    let query: LoadQuery = read_body(message, "report of load")?;
    let now = core.clock.now();
    let rows = decode_rows(core, &query.report, message)?;
    let from = &message.from;
    let answer = if query.is_group {
        let report = group_report(&query.report, rows);
        core.load.pool().lock().merge_group(from, report, now);
        merge_group_demand(core, from, &query.report, now);
        LoadAnswer {
            report: encode_group(core, &own_group(core, now), now),
            is_whole: true,
        }
    } else {
        let sequence = query.report.sequence;
        let own = pooled_own_rows(core, now);
        let mut pool = core.load.pool().lock();
        pool.merge(from, sequence, rows, now);
        let rows = pool.rows_for(from, &own, now);
        let age = pool.mean_age(now).unwrap_or_default();
        drop(pool);
        let demand = answer_demand(core, from, &query.report, now);
        let sequence = core.load.next_sequence();
        let (rows, is_whole) = core
            .load
            .encode_answer(from, rows, query.known, sequence, now);
        LoadAnswer {
            report: LoadReport {
                sequence,
                age_ms: age.as_millis() as u32,
                rows: rows.into(),
                members: Vec::new(),
                demand: Some(demand),
            },
            is_whole,
        }
    };
    load_metrics::count_rows("answer", answer.report.rows.len());
    write_body(&answer, "an answer about load")
}

/// Sums over the routers that report to this one, with its own figures if it pools them itself.
pub(super) fn own_group(core: &RelayCore, now: MonotonicTime) -> GroupReport {
    let own = pooled_own_rows(core, now);
    let sequence = core.load.next_sequence();
    let mut group = core.load.pool().lock().group(&own, sequence, now);
    if !own.is_empty() {
        group.members.push(member_id(&core.settings.load().host));
    }
    group
}

/// Figures of this router; none if another router pools them.
fn pooled_own_rows(core: &RelayCore, now: MonotonicTime) -> Vec<UpstreamWorkRow> {
    if !is_own_pool_host(core) {
        return Vec::new();
    }
    core.load
        .own_rows(OWN_ROWS_AGE, now, || own_rows(core, now))
}

/// Whether this router pools its own figures.
pub(super) fn is_own_pool_host(core: &RelayCore) -> bool {
    let host = core.load.pool_host();
    host.is_some_and(|host| host == core.settings.load().host)
}

/// Rows of a report of another router; logs a failure.
pub(super) fn decode_rows(
    core: &RelayCore,
    report: &LoadReport,
    message: &PeerMessage,
) -> Option<Vec<UpstreamWorkRow>> {
    let ids = core.upstreams.short_ids();
    let rows = read_rows(&report.rows, |id| ids.get(&id).cloned());
    let logged = rows.inspect_err(|error| {
        spdlog::warn!("invalid report of load ignored: {}", error, kv: { router = message.from.as_str() });
    });
    logged.ok()
}

/// A group's report with the decoded `rows`.
pub(super) fn group_report(report: &LoadReport, rows: Vec<UpstreamWorkRow>) -> GroupReport {
    GroupReport {
        sequence: report.sequence,
        age: Duration::from_millis(report.age_ms.into()),
        rows,
        members: report.members.clone(),
    }
}

/// `group` as it is sent, with the demand of the group.
pub(super) fn encode_group(
    core: &RelayCore,
    group: &GroupReport,
    now: MonotonicTime,
) -> LoadReport {
    LoadReport {
        sequence: group.sequence,
        age_ms: group.age.as_millis() as u32,
        rows: encode_rows(&group.rows),
        members: group.members.clone(),
        demand: Some(group_demand(core, now)),
    }
}

/// `rows` as they are sent.
pub(super) fn encode_rows(rows: &[UpstreamWorkRow]) -> Bytes {
    let mut bytes = Vec::new();
    for row in rows {
        write_row(&mut bytes, short_id(&row.upstream), row);
    }
    bytes.into()
}
