//! The next send of a request.

use std::sync::Arc;

use crate::relay::permits::SendPermit;
use crate::relay::upstreams::RelayUpstream;

/// The upstream that a request is sent to next.
#[derive(Debug)]
pub struct PlannedSend {
    /// Upstream.
    pub upstream: Arc<RelayUpstream>,
    /// Permit to send to it; absent if it needs none, or none whose end matters.
    pub permit: Option<Arc<SendPermit>>,
    /// Whether the upstream needed a permit when it was planned, which was then issued.
    pub is_permitted: bool,
}
