//! Checkpoint of one shard's bills, which keeps the totals after retention deleted the bills.

use std::collections::BTreeMap;

use super::{AnomalyCounts, BillAnomaly, WorkspaceTotal};
use crate::names::WorkspaceName;
use crate::time::UnixMillis;

/// Stream that holds the checkpoints of all shards.
pub const LEDGER_STREAM: &str = "ledger";

value_type! {
    /// State of a bill fold between two records.
    pub struct LedgerCheckpoint {
        /// Shard of the bills.
        pub shard: u16,
        /// Offset of the next record to fold.
        pub next: u64,
        /// Latest log time of the records folded.
        pub latest: UnixMillis,
        /// Billed totals of each workspace.
        pub totals: BTreeMap<WorkspaceName, WorkspaceTotal>,
        /// Bills that may still be repeated, in the order of their keys.
        pub remembered: Vec<RememberedBill>,
        /// Number of anomalies of each kind.
        pub counts: AnomalyCounts,
        /// First anomalies in log order; their number is limited.
        pub listed: Vec<BillAnomaly>,
    }

    /// Digests of a counted bill by which its repeats are recognised.
    pub struct RememberedBill {
        /// Digest of workspace and request id, 32 hexadecimal digits.
        #[serde(rename = "k")]
        pub key: String,
        /// Digest of the content.
        #[serde(rename = "c")]
        pub content: u64,
        /// Log time after which the entry can be removed: a repeat counts as late then, not as a first
        /// bill.
        #[serde(rename = "u")]
        pub until: UnixMillis,
        /// Offset of the counted bill.
        #[serde(rename = "o")]
        pub offset: u64,
    }
}
