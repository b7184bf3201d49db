//! The bound on requests to an upstream that has asked a router for a pause.

use std::time::Duration;

use ferry_standin::replica::ReplicaRun;

/// Time after the upstream's refusal in which requests may still arrive.
const PAUSE_GRACE: Duration = Duration::from_millis(500);
/// Number of requests that may arrive in the rest of a pause.
const MAX_ARRIVALS: usize = 2;

/// Largest number of arrivals in one pause; `None` if no pause had more than are allowed.
///
/// `runs` are the requests of one router at one upstream.
pub fn worst_pause_excess(runs: &[ReplicaRun]) -> Option<usize> {
    let arrivals = runs.iter().filter_map(|asked| {
        let end = asked.at + asked.pause?;
        let begin = asked.at + PAUSE_GRACE;
        let arrived = runs.iter().filter(|run| run.at > begin && run.at < end);
        Some(arrived.count())
    });
    arrivals.max().filter(|count| *count > MAX_ARRIVALS)
}
