//! Report of the ledger: totals and anomalies over all shards.

use std::collections::BTreeMap;

use super::{BillAnomaly, BillEntry, BillFold};
use crate::names::WorkspaceName;

value_type! {
    /// Billed totals of one workspace.
    #[derive(Copy, Default, Eq)]
    pub struct WorkspaceTotal {
        /// Requests billed.
        pub requests: u64,
        /// Prompt tokens of all stages.
        pub prompt_tokens: u64,
        /// Completion tokens of all stages.
        pub completion_tokens: u64,
        /// Price, in millionths of the currency unit.
        pub cost: u64,
    }

    /// Number of anomalies of each kind.
    #[derive(Copy, Default, Eq)]
    pub struct AnomalyCounts {
        /// Repeats with the same content as the bill that counts; harmless.
        pub repeats: u64,
        /// Repeats with other content than the bill that counts.
        pub repeats_that_differ: u64,
        /// Bills that were appended too long after the answer to be counted.
        pub late: u64,
        /// Bills in a stream of another shard.
        pub wrong_shard: u64,
        /// Records that are not batches of bills.
        pub foreign: u64,
        /// Ranges of records that were not read.
        pub gaps: u64,
    }

    /// Totals and anomalies over all shards; equal records give equal reports.
    #[derive(Default)]
    pub struct LedgerReport {
        /// Billed totals of each workspace.
        pub workspaces: BTreeMap<WorkspaceName, WorkspaceTotal>,
        /// Number of anomalies of each kind.
        pub counts: AnomalyCounts,
        /// The first anomalies of each shard, in the order of shards and offsets.
        pub anomalies: Vec<BillAnomaly>,
    }
}

impl WorkspaceTotal {
    /// Adds one bill; sums saturate at the largest number.
    pub fn add(&mut self, bill: &BillEntry) {
        self.merge(&Self {
            requests: 1,
            prompt_tokens: bill.prompt_tokens,
            completion_tokens: bill.completion_tokens,
            cost: bill.cost,
        });
    }

    fn merge(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.prompt_tokens = self.prompt_tokens.saturating_add(other.prompt_tokens);
        self.completion_tokens = self
            .completion_tokens
            .saturating_add(other.completion_tokens);
        self.cost = self.cost.saturating_add(other.cost);
    }
}

impl AnomalyCounts {
    /// Whether billing staff should look at the anomalies; repeats with equal content need no
    /// attention.
    pub fn need_attention(&self) -> bool {
        let harmless = Self {
            repeats: self.repeats,
            ..Self::default()
        };
        *self != harmless
    }

    fn merge(&mut self, other: &Self) {
        self.repeats += other.repeats;
        self.repeats_that_differ += other.repeats_that_differ;
        self.late += other.late;
        self.wrong_shard += other.wrong_shard;
        self.foreign += other.foreign;
        self.gaps += other.gaps;
    }
}

impl LedgerReport {
    /// Creates the report from the folds of all shards, given in the order of shards.
    pub fn from_folds<'a>(folds: impl IntoIterator<Item = &'a BillFold>) -> Self {
        let mut report = Self::default();
        for fold in folds {
            report.add(fold);
        }
        report
    }

    fn add(&mut self, fold: &BillFold) {
        for (workspace, total) in fold.totals() {
            let sum = self.workspaces.entry(workspace.clone()).or_default();
            sum.merge(total);
        }
        self.counts.merge(fold.counts());
        self.anomalies.extend_from_slice(fold.listed());
    }
}
