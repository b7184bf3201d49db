//! State of the intake, and the check of a workspace's limit.

use ferry_decisions::limits::OfferedCount;
use ferry_decisions::names::{VersionName, WorkspaceName};
use ferry_decisions::retry::{RetryPolicy, RetryQuery, RetryVerdict};
use ferry_kernel::shards::ShardMap;

use super::intake_message::{DemandCount, IntakeReport, WorkspaceCount};
use super::version_pool::VersionPool;
use super::workspace_intake::WorkspaceIntake;
use crate::caller::{CallerRefusal, CallerRequest, RefusalKind};
use crate::core::RouterCore;

/// State of the intake; its keys are names of the configuration, which bounds it.
#[derive(Debug, Default)]
pub struct IntakeDesk {
    workspaces: ShardMap<WorkspaceName, WorkspaceIntake>,
    versions: ShardMap<VersionName, VersionPool>,
}

/// Counts `request` and checks the limit of its workspace.
///
/// # Errors
///
/// A refusal with the time after which the workspace is within its limit again.
pub fn offer(core: &RouterCore, request: &CallerRequest) -> Result<(), CallerRefusal> {
    let view = core.config.view();
    let spec = view.workspaces.get(&request.workspace);
    let limit = spec.and_then(|spec| spec.limit.as_ref());
    let now = core.clock.elapsed();
    let judged = core
        .intake
        .with_workspace(&request.workspace, |intake| intake.offer(now, limit));
    judged.map_err(|refusal| {
        CallerRefusal::come_back(
            RefusalKind::WorkspaceLimit,
            refusal.to_string(),
            refusal.retry_after,
        )
    })
}

impl IntakeDesk {
    /// Runs `action` on the state of `version`.
    pub fn with_version<R>(
        &self,
        version: &VersionName,
        action: impl FnOnce(&mut VersionPool) -> R,
    ) -> R {
        self.versions.with(version, |pools| {
            action(pools.entry(version.clone()).or_default())
        })
    }

    /// Decides whether a failed request is sent elsewhere, at the expense of `workspace`.
    pub fn decide_retry(&self, workspace: &WorkspaceName, query: &RetryQuery) -> RetryVerdict {
        let policy = RetryPolicy::default();
        self.with_workspace(workspace, |intake| {
            policy.decide(query, || intake.budget.spend())
        })
    }

    /// This router's counts.
    pub(super) fn report(&self, core: &RouterCore) -> IntakeReport {
        let mut report = IntakeReport {
            router: core.incarnation,
            workspaces: Vec::new(),
            demands: Vec::new(),
        };
        self.workspaces.for_each_shard(|shard| {
            let limited = shard
                .iter()
                .filter_map(|(name, intake)| Some((name, intake.limit.as_ref()?)));
            report
                .workspaces
                .extend(limited.map(|(name, limit)| WorkspaceCount {
                    workspace: name.clone(),
                    total: limit.demand().own_total(),
                }));
        });
        self.versions.for_each_shard(|shard| {
            for (version, pool) in shard.iter() {
                let totals = pool.own_totals().filter(|(_, _, total)| *total > 0);
                report
                    .demands
                    .extend(totals.map(|(workspace, class, total)| DemandCount {
                        workspace: workspace.clone(),
                        version: version.clone(),
                        class,
                        total,
                    }));
            }
        });
        report
    }

    /// Takes over a peer's counts, as far as the configuration knows their names.
    pub(super) fn merge(&self, core: &RouterCore, report: &IntakeReport) {
        let now = core.clock.elapsed();
        let view = core.config.view();
        let count = |total| OfferedCount {
            router: report.router,
            total,
        };
        for entry in &report.workspaces {
            self.with_known_limit(&entry.workspace, |intake| {
                if let Some(limit) = &mut intake.limit {
                    limit.merge(now, count(entry.total));
                }
            });
        }
        for entry in &report.demands {
            let known = view.version(entry.version.as_str()).is_some()
                && view.workspaces.contains_key(&entry.workspace);
            if known {
                self.with_version(&entry.version, |pool| {
                    pool.merge(now, &entry.workspace, entry.class, count(entry.total));
                });
            }
        }
    }

    /// Shares the capacity of each version out anew.
    pub(super) fn share_out(&self, core: &RouterCore, capacity: impl Fn(&VersionName) -> f64) {
        let now = core.clock.elapsed();
        self.versions.for_each_shard(|shard| {
            for (version, pool) in shard.iter_mut() {
                pool.share_out(now, capacity(version));
            }
        });
    }

    fn with_workspace<R>(
        &self,
        workspace: &WorkspaceName,
        action: impl FnOnce(&mut WorkspaceIntake) -> R,
    ) -> R {
        self.workspaces.with(workspace, |intakes| {
            action(intakes.entry(workspace.clone()).or_default())
        })
    }

    fn with_known_limit(
        &self,
        workspace: &WorkspaceName,
        action: impl FnOnce(&mut WorkspaceIntake),
    ) {
        self.workspaces.with(workspace, |intakes| {
            intakes.get_mut(workspace).map(action);
        });
    }
}
