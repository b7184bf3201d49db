//! Demand of a request, and whether it is within the fair share of its workspace.

use ferry_decisions::names::WorkspaceName;
use ferry_decisions::workload::{DemandKey, work_class};

use super::RelayRun;
use super::work_placement::request_size;
use crate::relay::request::{RefusalReason, RelayRefusal};
use crate::relay::workload::{CountedDemand, DemandFacts, count_share_rejection, has_shares};

impl RelayRun {
    /// Counts the request towards the demand of its workspace, once.
    pub(super) fn count_demand(&mut self) {
        if self.record.demand.is_some() || !has_shares(&self.core) {
            return;
        }
        let Some(service) = &self.service else {
            return;
        };
        let key = DemandKey::new(service, self.request.workspace(), self.request.rank());
        let model = self.model().or_else(|| self.request.facts.model.clone());
        let class = work_class(self.request.rule.name.as_str(), &model.unwrap_or_default());
        let size = request_size(&self.request);
        let estimate = self
            .core
            .load
            .with_model(service, |model| model.estimate(&class, &size));
        let facts = DemandFacts {
            key,
            work: estimate.map(|estimate| estimate.head + estimate.body),
        };
        self.record.demand = Some(CountedDemand::count(&self.core, service, &facts));
    }

    /// Part of such requests that is within the fair share of their workspace; `None` if shares are not checked.
    pub(super) fn share_fraction(&self) -> Option<f64> {
        if !has_shares(&self.core) {
            return None;
        }
        let service = self.service.as_ref()?;
        let key = DemandKey::new(service, self.request.workspace(), self.request.rank());
        let now = self.core.clock.now();
        let shares = self.core.load.shares();
        Some(shares.fraction(&self.core, service, key, now))
    }

    /// Fails when the service is contended and the request, which was not sent yet, is beyond the fair share of its workspace.
    pub(super) fn check_share(&self) -> Result<(), RelayRefusal> {
        let (Some(demand), Some(service)) = (&self.record.demand, &self.service) else {
            return Ok(());
        };
        if self.record.sends > 0 || !has_shares(&self.core) {
            return Ok(());
        }
        let key = demand.key();
        let now = self.core.clock.now();
        let shares = self.core.load.shares();
        let points = rand::random();
        let Err(excess) = shares.check(&self.core, service, key, points, now) else {
            return Ok(());
        };
        count_share_rejection(service.as_str(), key.priority);
        let workspace = self.request.workspace().map(WorkspaceName::as_str);
        spdlog::info!("the request is beyond the fair share of its workspace", kv: {
            request_id = self.request.id.as_str(),
            service = service.as_str(),
            workspace = workspace.unwrap_or_default(),
            priority = key.priority,
            fraction = excess.fraction,
            demand = excess.demand,
            level = excess.level,
            capacity = excess.capacity,
            running = excess.load.running,
            waiting = excess.load.waiting,
            slots = excess.load.slots,
            oldest_ms = excess.oldest_ms,
            retry_after_ms = excess.retry_after.as_millis() as u64,
        });
        let refusal = RelayRefusal::not_run(RefusalReason::BeyondShare).with_run(self.run);
        Err(refusal.with_retry_after(excess.retry_after))
    }
}
