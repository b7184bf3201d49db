//! Checkpoint of one shard's bills, so that the bills themselves may expire.

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
        /// Offset of the first record that is not part of this state.
        pub next: u64,
        /// Latest log time of the records folded.
        pub latest: UnixMillis,
        /// Totals of each workspace.
        pub totals: BTreeMap<WorkspaceName, WorkspaceTotal>,
        /// Bills whose repeats may still come, in the order of their keys.
        pub remembered: Vec<RememberedBill>,
        /// Number of anomalies of each kind.
        pub counts: AnomalyCounts,
        /// The first anomalies.
        pub listed: Vec<BillAnomaly>,
    }

    /// What is kept of a counted bill to recognise its repeats.
    pub struct RememberedBill {
        /// Digest of workspace and request, 32 hexadecimal digits.
        #[serde(rename = "k")]
        pub key: String,
        /// Digest of the content.
        #[serde(rename = "c")]
        pub content: u64,
        /// Log time after which no repeat is taken for a first bill.
        #[serde(rename = "u")]
        pub until: UnixMillis,
        /// Offset of the bill.
        #[serde(rename = "o")]
        pub offset: u64,
    }
}
