//! Roll-out evidence and phases passed between a router that reads the store and those that sync from it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ferry_decisions::names::ServiceName;

use super::active_rollout::ActiveRollout;

use crate::relay::fleet::{EvidenceRecord, OngoingCount, PooledRollout};
use crate::relay::relay_core::SharedCore;

/// This router's evidence rows about the roll-outs in progress, for the router that it syncs from.
pub fn own_evidence(core: &SharedCore) -> Vec<EvidenceRecord> {
    let now = core.clock.now();
    core.report_ongoing_conversations();
    let rows = core.rollouts.unfinished_services().into_iter();
    rows.filter_map(|service| {
        core.rollouts.with(&service, |rollout| EvidenceRecord {
            service: service.clone(),
            order: rollout.offset(),
            row: rollout.own_row(&core.upstreams, now),
        })
    })
    .collect()
}

/// Numbers of marks of ongoing conversations known here.
pub fn ongoing_counts(core: &SharedCore) -> Vec<OngoingCount> {
    core.rollouts.map_all(ongoing_count)
}

fn ongoing_count(service: &ServiceName, rollout: &ActiveRollout) -> OngoingCount {
    OngoingCount {
        service: service.clone(),
        order: rollout.offset(),
        count: rollout.ongoing().len(),
    }
}

/// The fleet's evidence and phases known here, for a router that syncs from this one; of ended roll-outs the phases only.
///
/// Marks of ongoing conversations are left out of roll-outs of which that router has as many, as `known` states.
pub fn pooled_rollouts(core: &SharedCore, known: &[OngoingCount]) -> Vec<PooledRollout> {
    let now = core.clock.now();
    core.rollouts.map_all(|service, rollout| {
        let mut pooled = PooledRollout {
            service: service.clone(),
            order: rollout.offset(),
            phase: rollout.phase,
            canary_share: rollout.canary_share(),
            elapsed_ms: rollout.elapsed(now).as_millis() as u64,
            classes: BTreeMap::new(),
            times: BTreeMap::new(),
            ongoing: BTreeSet::new(),
        };
        if !rollout.is_final() {
            pooled.classes = rollout.class_totals();
            pooled.times = rollout.time_totals();
        }
        if !rollout.is_final() && !known.contains(&ongoing_count(service, rollout)) {
            pooled.ongoing = rollout.ongoing().clone();
        }
        pooled
    })
}

/// Applies the evidence and phases reported by the router that this one syncs from.
pub fn apply_pooled(core: &SharedCore, rollouts: Vec<PooledRollout>) {
    let now = core.clock.now();
    core.report_ongoing_conversations();
    for pooled in rollouts {
        core.rollouts.with(&pooled.service, |rollout| {
            if rollout.offset() != pooled.order {
                return;
            }
            let elapsed = Duration::from_millis(pooled.elapsed_ms);
            rollout.apply_pooled(pooled.classes, pooled.times, pooled.ongoing, elapsed, now);
            if let Some(phase) = pooled.phase {
                rollout.enter(phase, pooled.canary_share, now);
            }
        });
    }
}
