//! Division of a limit among routers.

use std::collections::BTreeSet;

use super::RouterId;

/// Part of `limit` that `router` may use when `participants` share it; 0 if it is not among them.
///
/// The parts of one set of participants add up to `limit`, and no part grows when a participant
/// is added. Therefore the parts add up to at most `limit` even if routers use different sets, as
/// long as each set contains every router that uses a part.
pub fn limit_part(limit: u32, participants: &BTreeSet<RouterId>, router: &RouterId) -> u32 {
    if !participants.contains(router) {
        return 0;
    }
    let rank = participants.range(..router).count() as u32;
    match limit.checked_sub(rank + 1) {
        Some(rest) => rest / participants.len() as u32 + 1,
        None => 0,
    }
}
