//! Records of the bill streams.

use uuid::Uuid;

use crate::names::{HostName, RequestId, VersionName, WorkspaceName};
use crate::time::UnixMillis;

/// Name of the bill stream of `shard`.
pub fn bill_stream(shard: u16) -> String {
    format!("bills-{shard}")
}

value_type! {
    /// One record of a bill stream: bills that were appended together.
    pub struct BillBatch {
        /// Router host that appended the batch.
        pub owner: HostName,
        /// Identifier of the batch; tells whether an append without a response reached the log.
        pub batch: Uuid,
        /// Bills in the order in which they are decided.
        pub bills: Vec<BillEntry>,
    }

    /// Bill of one request. The first one in log order counts; later ones of the same request are
    /// repeats.
    pub struct BillEntry {
        /// Request that is billed.
        pub request: RequestId,
        /// Workspace that pays.
        pub workspace: WorkspaceName,
        /// Version whose answer was released to the caller; the service's name for a plain service.
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
        /// End of the answer, by the router's clock.
        pub time: UnixMillis,
    }
}

closed_set! {
    /// Why a request is billed.
    pub enum BillOutcome {
        /// The whole answer was produced.
        Answered,
        /// The caller disconnected after the answer started.
        Cancelled,
    }
}
