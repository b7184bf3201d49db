//! Messages of the shared load.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Report of a router to a pool host, or of a pool host to another one, which asks for the figures of the others.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct LoadQuery {
    /// Whether the rows are the sums over a group, and the answer is to have those of the other group.
    #[serde(default)]
    pub is_group: bool,
    /// Figures of the sender.
    #[serde(default)]
    pub report: LoadReport,
    /// Number of the last answer that the sender has; the next one has only the rows that have changed since.
    #[serde(default)]
    pub known: u64,
}

/// Figures of a router or a group.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of the report, higher than that of earlier ones.
    #[serde(default)]
    pub sequence: u64,
    /// Mean age of the figures, in milliseconds.
    #[serde(default)]
    pub age_ms: u32,
    /// Rows, as [`write_row`](ferry_decisions::workload::write_row) encodes them.
    #[serde(default)]
    pub rows: Bytes,
    /// Members of the group.
    #[serde(default)]
    pub members: Vec<u64>,
    /// Rows of demand, as [`write_demand`](ferry_decisions::workload::write_demand) encodes them; absent in reports of older builds.
    #[serde(default)]
    pub demand: Option<Bytes>,
}

/// Answer to a report.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct LoadAnswer {
    /// Figures of the other routers, or of the group of the answering pool host.
    #[serde(default)]
    pub report: LoadReport,
    /// Whether these are all rows; otherwise, the others are as in the answer before.
    #[serde(default)]
    pub is_whole: bool,
}
