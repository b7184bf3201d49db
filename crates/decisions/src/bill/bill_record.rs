//! Records of the bill streams.

use uuid::Uuid;

use crate::names::{HostName, RequestId, VersionName, WorkspaceName};
use crate::time::UnixMillis;

/// Name of the bill stream of `shard`.
pub fn bill_stream(shard: u16) -> String {
    format!("bills-{shard}")
}

value_type! {
    /// One record of a bill stream: bills that were appended together, in order.
    pub struct BillBatch {
        /// Router host that appended the batch.
        pub owner: HostName,
        /// Identifier of the batch; finds it after a lost answer.
        pub batch: Uuid,
        /// Bills in order.
        pub bills: Vec<BillEntry>,
    }

    /// Bill of one request. The first in log order counts; later ones of the same id are repeats.
    pub struct BillEntry {
        /// Request that is billed.
        pub request: RequestId,
        /// Workspace that pays.
        pub workspace: WorkspaceName,
        /// Version whose answer was released; the service's name for a plain service.
        pub version: VersionName,
        /// Prompt tokens of all stages.
        pub prompt_tokens: u64,
        /// Completion tokens of all stages.
        pub completion_tokens: u64,
        /// Price of all stages, in millionths of the currency unit.
        pub cost: u64,
        /// Why the request is billed.
        pub outcome: BillOutcome,
        /// Router host that answered.
        pub router: HostName,
        /// When the answer ended.
        pub time: UnixMillis,
    }
}

closed_set! {
    /// Why a request is billed.
    pub enum BillOutcome {
        /// The whole answer was produced.
        Answered,
        /// The caller went away after the answer started.
        Cancelled,
    }
}
