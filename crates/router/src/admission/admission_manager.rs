//! Admission state of this router by workspace and version, and the check of a workspace's limit.

use ferry_decisions::limits::OfferedCount;
use ferry_decisions::names::{VersionName, WorkspaceName};
use ferry_decisions::retry::{RetryPolicy, RetryQuery, RetryVerdict};
use ferry_kernel::shards::ShardMap;

use super::admission_message::{AdmissionReport, DemandCount, WorkspaceCount};
use super::version_pool::VersionPool;
use super::workspace_admission::WorkspaceAdmission;
use crate::caller::{CallerRefusal, CallerRequest, RefusalKind};
use crate::core::RouterCore;

/// Admission state of this router. Its keys are names from the configuration, which bounds its size.
#[derive(Debug, Default)]
pub struct AdmissionManager {
    workspaces: ShardMap<WorkspaceName, WorkspaceAdmission>,
    versions: ShardMap<VersionName, VersionPool>,
}

/// Counts `request` as offered and checks the limit of its workspace.
///
/// # Errors
///
/// Returns a refusal with the time after which the workspace is within its limit again.
pub fn check_limit(core: &RouterCore, request: &CallerRequest) -> Result<(), CallerRefusal> {
    let view = core.config.view();
    let spec = view.workspaces.get(&request.workspace);
    let limit = spec.and_then(|spec| spec.limit.as_ref());
    let now = core.clock.elapsed();
    let result = core
        .admission
        .with_workspace(&request.workspace, |state| state.check_limit(now, limit));
    result.map_err(|refusal| {
        CallerRefusal::retry_after(
            RefusalKind::WorkspaceLimit,
            refusal.to_string(),
            refusal.retry_after,
        )
    })
}

impl AdmissionManager {
    /// Runs `action` on the state of `version`, which is created if absent.
    pub fn with_version<R>(
        &self,
        version: &VersionName,
        action: impl FnOnce(&mut VersionPool) -> R,
    ) -> R {
        self.versions.with(version, |pools| {
            action(pools.entry(version.clone()).or_default())
        })
    }

    /// Decides whether a failed request is retried on another upstream; a retry counts against the
    /// retry budget of `workspace`.
    pub fn decide_retry(&self, workspace: &WorkspaceName, query: &RetryQuery) -> RetryVerdict {
        let policy = RetryPolicy::default();
        self.with_workspace(workspace, |state| {
            policy.decide(query, || state.budget.spend())
        })
    }

    /// Report of the requests offered to this router, for its peers.
    pub(super) fn report(&self, core: &RouterCore) -> AdmissionReport {
        let mut report = AdmissionReport {
            router: core.incarnation,
            workspaces: Vec::new(),
            demands: Vec::new(),
        };
        self.workspaces.for_each_shard(|shard| {
            let limited = shard
                .iter()
                .filter_map(|(name, state)| Some((name, state.limit.as_ref()?)));
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

    /// Merges a peer's counts, ignoring workspaces and versions unknown here.
    pub(super) fn merge(&self, core: &RouterCore, report: &AdmissionReport) {
        let now = core.clock.elapsed();
        let view = core.config.view();
        let count = |total| OfferedCount {
            router: report.router,
            total,
        };
        for entry in &report.workspaces {
            self.with_existing_workspace(&entry.workspace, |state| {
                if let Some(limit) = &mut state.limit {
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

    /// Recomputes how the capacity of each version is divided among the workspaces.
    pub(super) fn divide_capacity(
        &self,
        core: &RouterCore,
        capacity: impl Fn(&VersionName) -> f64,
    ) {
        let now = core.clock.elapsed();
        self.versions.for_each_shard(|shard| {
            for (version, pool) in shard.iter_mut() {
                pool.divide_capacity(now, capacity(version));
            }
        });
    }

    fn with_workspace<R>(
        &self,
        workspace: &WorkspaceName,
        action: impl FnOnce(&mut WorkspaceAdmission) -> R,
    ) -> R {
        self.workspaces.with(workspace, |states| {
            action(states.entry(workspace.clone()).or_default())
        })
    }

    fn with_existing_workspace(
        &self,
        workspace: &WorkspaceName,
        action: impl FnOnce(&mut WorkspaceAdmission),
    ) {
        self.workspaces.with(workspace, |states| {
            states.get_mut(workspace).map(action);
        });
    }
}
