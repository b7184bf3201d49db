//! Decisions of the guard for single requests.

use super::RouterId;

/// A router's view of the fleet at the time of a decision.
#[derive(Debug, Clone, Copy)]
pub struct FleetView<'a> {
    /// Routers known to be alive; may include this one.
    pub routers: &'a [RouterId],
    /// Whether the host list that this router read contains its own host, and `routers` contains
    /// a router of every router host on that list.
    ///
    /// A router without a complete view gets no part of the limit, since a router unknown to it
    /// might hold one.
    pub complete: bool,
}

closed_set! {
    /// Whether a request may be sent to a candidate.
    pub enum GuardDecision {
        /// Yes, within this router's part of the limit.
        Serve,
        /// No, the roll-out was stopped.
        Tripped,
        /// No, this router's part of the limit is in use; another version must serve the request.
        CapReached,
        /// Not yet: not every router on the host list is known; see [`FleetView::complete`].
        AwaitingFleet,
        /// Not yet: some router has not yielded a part to this one.
        AwaitingParts,
        /// No, the pool has reached its limit of candidates or routers.
        PoolFull,
    }
}
