//! Which evacuations have just ended, and whether this router can know that.
//!
//! The store only shows that a record is absent. A router that starts learns from others when the evacuation ended.

use std::time::Duration;

use ferry_decisions::evacuation::RecentEvacuation;
use ferry_decisions::limits::MAX_COLD_TIME;

use crate::relay::relay_core::RelayCore;

/// What a router states of evacuations that are in force or have just ended.
#[derive(Debug, Default)]
pub struct RecentEnds {
    /// The evacuations.
    pub evacuations: Vec<RecentEvacuation>,
    /// Whether the router states them; one of an older build doesn't.
    pub is_stated: bool,
}

/// What this router can state to others.
pub fn state_recent(core: &RelayCore) -> RecentEnds {
    let longest = longest_cold_start(core);
    let evacuations = core.evacuations.recent(longest, core.clock.now());
    RecentEnds {
        evacuations,
        is_stated: true,
    }
}

/// Records what another router states.
///
/// One that has started a moment ago may know no more than this one. It counts all the same: routers that restart together would otherwise reject
/// requests until no evacuation before their start can matter, and the upstreams' entries and responses state cold times too.
pub fn learn_recent(core: &RelayCore, ends: &RecentEnds) {
    let longest = longest_cold_start(core);
    core.evacuations
        .learn_recent(&ends.evacuations, longest, core.clock.now());
    if ends.is_stated {
        core.evacuations.record_informed();
    }
}

/// Time since the start of this router if an evacuation may have ended right before it, and no other router has stated the recent ends; `None` if that
/// can make no upstream cold any more.
pub fn uninformed_time(core: &RelayCore) -> Option<Duration> {
    let running = core.clock.elapsed();
    if core.evacuations.is_informed() || running >= MAX_COLD_TIME {
        return None;
    }
    let is_recent = core.rules.load().is_none() || running < longest_cold_start(core);
    is_recent.then_some(running)
}

/// Longest time for which the end of an evacuation makes an upstream cold, by the rules in force.
pub fn longest_cold_start(core: &RelayCore) -> Duration {
    let rules = core.rules.load();
    rules
        .as_ref()
        .map_or(Duration::ZERO, |rules| rules.longest_cold_start())
}
