//! Sums of the counts of all routers.

use std::collections::BTreeMap;

use super::{GuardCounts, GuardRow};
use crate::names::WorkspaceName;

/// Fleet-wide counts for one candidate.
#[derive(Debug, Clone, Default)]
pub(super) struct PooledTotals {
    /// Sums over all workspaces.
    pub(super) all: GuardCounts,
    /// Sums by workspace.
    pub(super) by_workspace: BTreeMap<WorkspaceName, GuardCounts>,
}

impl PooledTotals {
    pub(super) fn of<'a>(rows: impl Iterator<Item = &'a GuardRow>) -> Self {
        let mut totals = Self::default();
        for (workspace, counts) in rows.flat_map(|row| &row.cells) {
            totals.all.add(counts);
            match totals.by_workspace.get_mut(workspace) {
                Some(sum) => sum.add(counts),
                None => {
                    totals.by_workspace.insert(workspace.clone(), *counts);
                }
            }
        }
        totals
    }
}
