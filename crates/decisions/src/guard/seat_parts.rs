//! Division of a limit among routers.

use std::collections::BTreeSet;

use super::RouterId;

/// Part of `limit` that `router` may use when the routers in `seats` share it.
///
/// The parts over one set of seats add up to `limit`, and no part grows when a seat is
/// added. So the parts add up to at most `limit` also when routers divide by different
/// sets, as long as each set holds every router that uses a part.
pub fn seat_part(limit: u32, seats: &BTreeSet<RouterId>, router: &RouterId) -> u32 {
    if !seats.contains(router) {
        return 0;
    }
    let rank = seats.range(..router).count() as u32;
    match limit.checked_sub(rank + 1) {
        Some(rest) => rest / seats.len() as u32 + 1,
        None => 0,
    }
}
