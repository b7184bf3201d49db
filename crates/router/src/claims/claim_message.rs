//! Messages about claims between routers.

use ferry_decisions::claim::{ClaimEntry, ClaimReply};
use ferry_decisions::value_type;

value_type! {
    /// Asks the owner of a shard to append an entry.
    pub(super) struct ClaimQuery {
        /// The entry; the router that makes a claim is named in it.
        pub entry: ClaimEntry,
    }

    /// The owner's answer.
    pub(super) struct ClaimAnswer {
        /// What became of the entry; `None` when the log did not confirm it in time.
        pub reply: Option<ClaimReply>,
    }
}
