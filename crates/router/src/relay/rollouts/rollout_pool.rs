//! Roll-out evidence and phases passed between a router that reads the store and those that sync from it.

use std::time::Duration;

use crate::relay::fleet::{EvidenceRecord, PooledRollout};
use crate::relay::relay_core::SharedCore;

/// This router's evidence rows about the roll-outs in progress, for the router that it syncs from.
pub fn own_evidence(core: &SharedCore) -> Vec<EvidenceRecord> {
    let now = core.clock.now();
    core.report_ongoing_conversations();
    let rows = core.rollouts.unfinished_services().into_iter();
    rows.filter_map(|service| {
        core.rollouts.with(&service, |rollout| EvidenceRecord {
            service: service.clone(),
            order: rollout.offset,
            row: rollout.own_row(&core.upstreams, now),
        })
    })
    .collect()
}

/// The fleet's evidence and phases known here, for the routers that sync from this one; ended roll-outs included.
pub fn pooled_rollouts(core: &SharedCore) -> Vec<PooledRollout> {
    let now = core.clock.now();
    core.rollouts.map_all(|service, rollout| PooledRollout {
        service: service.clone(),
        order: rollout.offset,
        phase: rollout.phase,
        canary_share: rollout.canary_share(),
        elapsed_ms: rollout.elapsed(now).as_millis() as u64,
        classes: rollout.class_totals(),
        times: rollout.time_totals(),
        ongoing: rollout.ongoing().clone(),
    })
}

/// Applies the evidence and phases reported by the router that this one syncs from.
pub fn apply_pooled(core: &SharedCore, rollouts: Vec<PooledRollout>) {
    let now = core.clock.now();
    core.report_ongoing_conversations();
    for pooled in rollouts {
        core.rollouts.with(&pooled.service, |rollout| {
            if rollout.offset != pooled.order {
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
