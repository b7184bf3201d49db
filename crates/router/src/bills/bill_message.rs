//! Messages about bills between routers.

use ferry_decisions::bill::BillEntry;
use ferry_decisions::claim::RequestKey;
use serde::{Deserialize, Serialize};

/// Request from one router to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum BillQuery {
    /// Append the bill as the owner of its shard.
    Append(BillEntry),
    /// Hold a copy until the bill is known to be on the log.
    Hold(BillEntry),
    /// The bill is on the log, so the copy can be removed. Has no answer.
    Logged(RequestKey),
}

/// Answer to a [`BillQuery`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum BillAnswer {
    /// The bill is on the log.
    Logged,
    /// The router has stored a copy.
    Held,
    /// The router already had the bill, as a copy or because it answered the request itself.
    AlreadyHeld,
    /// The bill was neither logged nor stored; the sender must use another router.
    Refused,
}
