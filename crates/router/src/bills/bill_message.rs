//! Messages about bills between routers.

use ferry_decisions::bill::BillEntry;
use ferry_decisions::claim::RequestKey;
use serde::{Deserialize, Serialize};

/// What a router wants of another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum BillQuery {
    /// Append the bill as owner of its shard.
    Append(BillEntry),
    /// Hold a copy until it is known to be on the log.
    Hold(BillEntry),
    /// The bill is on the log; the copy may go. Needs no answer.
    Logged(RequestKey),
}

/// Answer to a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum BillAnswer {
    /// The bill is on the log.
    Logged,
    /// A copy is held here from now on.
    Held,
    /// The bill was here before: as a copy, or because its request was answered here.
    AlreadyHeld,
    /// Neither; ask another router.
    Refused,
}
