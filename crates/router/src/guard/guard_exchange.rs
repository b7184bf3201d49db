//! Background task of the guard: updates it from the configuration and the fleet, sends evidence to
//! the neighbours, and sets the guard's metrics.

use std::sync::Arc;
use std::time::Duration;

use ferry_kernel::ticks;
use tokio::time::Instant;

use super::fleet_identity::FleetIdentity;
use crate::core::{LifecyclePhase, RouterCore};
use crate::peer::PeerTopic;

/// Period of messages about changes; a trip is sent at once.
const CHANGE_PERIOD: Duration = Duration::from_millis(100);
/// Period of messages with all known evidence.
const FULL_PERIOD: Duration = Duration::from_secs(1);

/// Updates the guard from the configuration and the fleet, and sends changes to the neighbours.
pub async fn run(core: Arc<RouterCore>) {
    let mut ticks = ticks::every(CHANGE_PERIOD);
    let mut sent = 0;
    let mut full_at = Instant::now();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = core.guard.tripped.notified() => {}
        }
        let view = core.config.view();
        let fleet = FleetIdentity::read(&core);
        // With links to all other routers, messages about changes leave out their evidence.
        let own_only = core.hub().connected().len() + 1 >= fleet.routers.len();
        let leaving = core.phase() != LifecyclePhase::Serving;
        core.guard.update(&view, fleet, leaving);
        let is_full = Instant::now() >= full_at;
        let (delta, revision) = if is_full {
            full_at = Instant::now() + FULL_PERIOD;
            update_gauges(&core);
            core.guard.changes(0, false)
        } else {
            core.guard.changes(sent, own_only)
        };
        sent = revision;
        if !delta.candidates.is_empty() {
            core.hub().broadcast(PeerTopic::Guard, &delta);
        }
    }
}

fn update_gauges(core: &RouterCore) {
    for candidate in core.guard.candidates(&core.config.view()) {
        let counts = &candidate.counts;
        let gauge = |name: &'static str, value: u64| {
            metrics::gauge!(name, "version" => candidate.version.to_string()).set(value as f64);
        };
        gauge("ferry_guard_served", counts.served);
        gauge("ferry_guard_rated", counts.rated());
        gauge("ferry_guard_bad", counts.bad);
        gauge("ferry_guard_unrated", counts.unrated());
    }
}
