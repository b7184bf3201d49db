//! Demand of the workspaces in the messages of the load exchange.

use bytes::Bytes;
use ferry_decisions::names::HostName;
use ferry_decisions::time::MonotonicTime;
use ferry_decisions::workload::{DemandRow, read_demand, reported_rows, write_demand};

use super::load_message::LoadReport;
use super::load_metrics;
use super::load_reply::is_own_pool_host;
use super::share_manager::has_shares;
use crate::relay::relay_core::RelayCore;

/// Demand at this router, as it reports it to a pool host.
pub(super) fn own_demand(core: &RelayCore, now: MonotonicTime) -> Bytes {
    encode(&own_rows(core, now))
}

/// Records the demand of the others that `host` answered.
pub(super) fn record_demand_answer(
    core: &RelayCore,
    host: &HostName,
    report: &LoadReport,
    now: MonotonicTime,
) {
    if let Some(rows) = decode(host, report) {
        core.load.shares().record_answer(rows, now);
    }
}

/// Merges the report of the router `from`; returns the demand of the others for the answer.
pub(super) fn answer_demand(
    core: &RelayCore,
    from: &HostName,
    report: &LoadReport,
    now: MonotonicTime,
) -> Bytes {
    let rows = decode(from, report);
    let own = pooled_rows(core, now);
    let mut pool = core.load.shares().pool().lock();
    if let Some(rows) = rows {
        pool.merge(from, report.sequence, rows, now);
    }
    encode(&pool.rows_for(from, &own, now))
}

/// Merges the demand of the group of the pool host `from`.
pub(super) fn merge_group_demand(
    core: &RelayCore,
    from: &HostName,
    report: &LoadReport,
    now: MonotonicTime,
) {
    let Some(rows) = decode(from, report) else {
        return;
    };
    let mut pool = core.load.shares().pool().lock();
    pool.merge_group(from, report.sequence, rows, report.members.clone(), now);
}

/// Demand of the group of this pool host.
pub(super) fn group_demand(core: &RelayCore, now: MonotonicTime) -> Bytes {
    let own = pooled_rows(core, now);
    encode(&core.load.shares().pool().lock().group(&own, now))
}

/// Demand at this router; none if another router pools it.
fn pooled_rows(core: &RelayCore, now: MonotonicTime) -> Vec<DemandRow> {
    match is_own_pool_host(core) {
        true => own_rows(core, now),
        false => Vec::new(),
    }
}

fn own_rows(core: &RelayCore, now: MonotonicTime) -> Vec<DemandRow> {
    match has_shares(core) {
        true => reported_rows(core.load.shares().own_rows(now)),
        false => Vec::new(),
    }
}

fn encode(rows: &[DemandRow]) -> Bytes {
    let bytes = write_demand(rows);
    load_metrics::count_rows("demand", bytes.len());
    bytes.into()
}

/// Rows of `report` of the router `from`; `None` if it is of an older build, which states none, or, which is logged, if they can't be read.
fn decode(from: &HostName, report: &LoadReport) -> Option<Vec<DemandRow>> {
    let rows = read_demand(report.demand.as_ref()?);
    let logged = rows.inspect_err(|error| {
        spdlog::warn!("invalid rows of demand ignored: {}", error, kv: { router = from.as_str() });
    });
    logged.ok()
}
