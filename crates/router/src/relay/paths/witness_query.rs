//! Asks other routers whether they reach the process of an upstream that this one doesn't reach.

use ferry_decisions::names::HostName;
use futures::StreamExt;
use futures::stream::FuturesUnordered;

use super::path_keeper::asked_routers;
use super::path_message::{ReachProof, ReachQuery};
use super::path_query::ask_reached;
use crate::relay::relay_core::SharedCore;
use crate::relay::upstreams::RelayUpstream;

/// Whether a router that is asked now reaches the process of `upstream`; the router `also` is asked beside the usual ones.
pub async fn is_reached_by_others(
    core: &SharedCore,
    upstream: &RelayUpstream,
    also: Option<&HostName>,
) -> bool {
    let mut routers = asked_routers(core, 0);
    if let Some(also) = also.filter(|also| !routers.contains(also)) {
        routers.push(also.clone());
    }
    let asking = routers.iter().map(|router| {
        let query = ReachQuery {
            upstreams: vec![upstream.record.incarnation.clone()],
            proof: ReachProof::SameProcess,
        };
        ask_reached(core, router, query)
    });
    let mut answers: FuturesUnordered<_> = asking.collect();
    while let Some(answer) = answers.next().await {
        // A router that gives no answer is no proof.
        if answer.is_ok_and(|reached| reached == [true]) {
            return true;
        }
    }
    false
}
