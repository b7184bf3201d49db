//! Demand of the workspaces at one router, that of the others, and the fair shares that follow.

use std::collections::HashMap;
use std::time::Duration;

use ferry_decisions::admission::{ServiceShares, ShareExcess, ShareFigures};
use ferry_decisions::names::ServiceName;
use ferry_decisions::time::MonotonicTime;
use ferry_decisions::workload::{
    DEMAND_LIFETIME, DemandKey, DemandMeter, DemandPool, DemandRow, MAX_GROUP_ROWS, MAX_WORK,
    service_id,
};
use parking_lot::Mutex;

use super::load_reply::is_own_pool_host;
use super::service_load::service_load;
use super::share_metrics;
use crate::relay::relay_core::{RelayCore, SharedCore};

/// Time between two computations of the shares of a service: the figures of others change twice a second.
const UPDATE_PERIOD: Duration = Duration::from_millis(250);
/// Maximum number of services whose shares are kept; the configuration has far fewer.
const MAX_SERVICES: usize = 256;
/// Work of a request while no expected time is known of any class of its service.
const DEFAULT_WORK: Duration = Duration::from_secs(1);
/// Weight of the newest request in the mean work of a service.
const MEAN_WEIGHT: f64 = 0.05;

/// Demand, and shares of contended services.
#[derive(Debug, Default)]
pub struct ShareManager {
    meter: Mutex<DemandMeter>,
    /// Reports to this router.
    pool: Mutex<DemandPool>,
    /// Demand of the others as the pool host last answered it, and when.
    heard: Mutex<Option<(Vec<DemandRow>, MonotonicTime)>>,
    services: Mutex<HashMap<ServiceName, ServiceState>>,
}

#[derive(Debug, Default)]
struct ServiceState {
    shares: ServiceShares,
    updated_at: Option<MonotonicTime>,
    /// Mean expected time of its requests.
    mean_work: Option<Duration>,
}

/// What the demand of a request is counted by.
#[derive(Debug, Clone)]
pub struct DemandFacts {
    /// Service, workspace and priority.
    pub key: DemandKey,
    /// Expected time of the run; absent while its class is not known.
    pub work: Option<Duration>,
}

/// Demand of one request, which is counted as throughput once it is answered.
pub struct CountedDemand {
    core: SharedCore,
    key: DemandKey,
    work: Duration,
}

/// Whether requests are checked for the share of their workspace: figures are exchanged, and the configuration has workspaces.
pub fn has_shares(core: &RelayCore) -> bool {
    let rules = core.rules.load();
    let keys = rules.as_ref().and_then(|rules| rules.key_count());
    core.load.is_sharing() && keys.is_some_and(|count| count > 0)
}

impl ShareManager {
    /// Checks a request with the key `key` for `service`; `points` are uniform in `0.0..1.0`.
    ///
    /// # Errors
    ///
    /// Fails when the service is contended and the request is beyond the share of its workspace.
    pub fn check(
        &self,
        core: &RelayCore,
        service: &ServiceName,
        key: DemandKey,
        points: [f64; 2],
        now: MonotonicTime,
    ) -> Result<(), ShareExcess> {
        self.with_shares(core, service, now, |shares| {
            shares.check(key.workspace, key.priority, points)
        })
    }

    /// Part of the requests with the key `key` for `service` that is within the share of their workspace; 1 without contention.
    pub fn fraction(
        &self,
        core: &RelayCore,
        service: &ServiceName,
        key: DemandKey,
        now: MonotonicTime,
    ) -> f64 {
        self.with_shares(core, service, now, |shares| {
            shares.fraction(key.workspace, key.priority)
        })
    }

    /// Applies `action` to the shares of `service`, which are computed again if they are too old.
    fn with_shares<R>(
        &self,
        core: &RelayCore,
        service: &ServiceName,
        now: MonotonicTime,
        action: impl FnOnce(&ServiceShares) -> R,
    ) -> R {
        let mut services = self.services.lock();
        if services.len() >= MAX_SERVICES && !services.contains_key(service) {
            // Services that are gone from the configuration are forgotten; the others are computed again.
            services.clear();
        }
        let state = services.entry(service.clone()).or_default();
        let is_due = |at| now.since(at) >= UPDATE_PERIOD;
        if state.updated_at.is_none_or(is_due) {
            state.updated_at = Some(now);
            self.update(core, service, &mut state.shares, now);
        }
        action(&state.shares)
    }

    /// Removes what is too old to be used.
    pub(super) fn expire(&self, now: MonotonicTime) {
        self.pool.lock().expire(now);
    }

    /// Reports to this router.
    pub(super) fn pool(&self) -> &Mutex<DemandPool> {
        &self.pool
    }

    /// Demand at this router.
    pub(super) fn own_rows(&self, now: MonotonicTime) -> Vec<DemandRow> {
        self.meter.lock().rows(now)
    }

    /// Records the demand of the others.
    pub(super) fn record_answer(&self, mut rows: Vec<DemandRow>, now: MonotonicTime) {
        rows.truncate(MAX_GROUP_ROWS);
        *self.heard.lock() = Some((rows, now));
    }

    fn update(
        &self,
        core: &RelayCore,
        service: &ServiceName,
        shares: &mut ServiceShares,
        now: MonotonicTime,
    ) {
        let id = service_id(service);
        let of_service = |row: &DemandRow| row.key.service == id;
        let (mut others, hears_others) = self.others(core, now);
        others.retain(of_service);
        let mut meter = self.meter.lock();
        let mut own = match hears_others {
            true => meter.rows(now),
            false => meter.steady_rows(now),
        };
        drop(meter);
        own.retain(of_service);
        let was_contended = shares.is_contended();
        shares.update(&ShareFigures {
            load: service_load(core, service, now),
            own: &own,
            others: &others,
            hears_others,
            routers: core.fleet.router_count(),
        });
        let is_contended = shares.is_contended();
        share_metrics::record_contention(service.as_str(), is_contended);
        if is_contended != was_contended {
            spdlog::info!("contention of a service changed", kv: {
                service = service.as_str(),
                is_contended = is_contended,
            });
        }
    }

    /// Demand of the other routers, and whether any is heard.
    fn others(&self, core: &RelayCore, now: MonotonicTime) -> (Vec<DemandRow>, bool) {
        if is_own_pool_host(core) {
            let pool = self.pool.lock();
            return (pool.rows(now), pool.has_reports(now));
        }
        let heard = self.heard.lock();
        let Some((rows, heard_at)) = &*heard else {
            return (Vec::new(), false);
        };
        let elapsed = now.since(*heard_at);
        let rows = rows.iter().filter_map(|row| row.aged(elapsed));
        (rows.collect(), elapsed < DEMAND_LIFETIME)
    }

    /// Counts a request; returns its work.
    fn record_demand(
        &self,
        service: &ServiceName,
        facts: &DemandFacts,
        now: MonotonicTime,
    ) -> Duration {
        let mut services = self.services.lock();
        let state = services.entry(service.clone()).or_default();
        let mean = state.mean_work.unwrap_or(DEFAULT_WORK);
        let work = facts.work.unwrap_or(mean);
        if facts.work.is_some() {
            let newest = work.min(MAX_WORK).as_secs_f64();
            let seconds = match state.mean_work {
                Some(mean) => mean.as_secs_f64() * (1.0 - MEAN_WEIGHT) + newest * MEAN_WEIGHT,
                None => newest,
            };
            state.mean_work = Some(Duration::from_secs_f64(seconds));
        }
        drop(services);
        self.meter.lock().record_demand(facts.key, work, now);
        work
    }
}

impl CountedDemand {
    /// Counts a request for `service` towards the demand.
    pub fn count(core: &SharedCore, service: &ServiceName, facts: &DemandFacts) -> Self {
        let now = core.clock.now();
        Self {
            core: SharedCore::clone(core),
            key: facts.key,
            work: core.load.shares().record_demand(service, facts, now),
        }
    }

    /// Service, workspace and priority of the request.
    pub fn key(&self) -> DemandKey {
        self.key
    }

    /// Counts the request towards the throughput.
    pub fn record_answered(self) {
        let now = self.core.clock.now();
        let mut meter = self.core.load.shares().meter.lock();
        meter.record_completed(self.key, self.work, now);
    }
}

impl std::fmt::Debug for CountedDemand {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("CountedDemand")
            .field("key", &self.key)
            .field("work", &self.work)
            .finish_non_exhaustive()
    }
}
