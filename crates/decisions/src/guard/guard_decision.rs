//! Answers of the guard to the request path.

use super::RouterId;

/// What a router knows of the fleet when it asks.
#[derive(Debug, Clone, Copy)]
pub struct FleetView<'a> {
    /// Routers known to be alive, this one included or not.
    pub routers: &'a [RouterId],
    /// Whether this router's own host is on the host list that it read, and `routers` holds a
    /// router of every router host on that list.
    ///
    /// A router without a complete view takes no part of the limit: it might not have heard
    /// of a router that holds a part.
    pub complete: bool,
}

closed_set! {
    /// Whether a request may be handed to a candidate.
    pub enum GuardDecision {
        /// Within this router's part of the limit.
        Serve,
        /// The roll-out was stopped.
        Tripped,
        /// This router's part of the limit is in use; use another version.
        CapReached,
        /// Not every router on the host list has been heard yet.
        AwaitingFleet,
        /// Some router has not yet yielded a part to this one.
        AwaitingParts,
        /// The pool holds as many candidates or routers as it can.
        PoolFull,
    }
}
