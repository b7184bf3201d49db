//! The most recent trails.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use ferry_decisions::names::RequestId;
use parking_lot::Mutex;

use super::DecisionTrail;

/// Trails kept.
const RING_LIMIT: usize = 4_096;

/// Trails of finished requests, newest last.
#[derive(Debug, Default)]
pub struct TrailRing {
    inner: Mutex<RingState>,
}

#[derive(Debug, Default)]
struct RingState {
    /// Identifiers in the order in which their trails came; as many as trails.
    order: VecDeque<RequestId>,
    trails: HashMap<RequestId, Arc<DecisionTrail>>,
}

impl TrailRing {
    /// Keeps `trail`, dropping the oldest one beyond the limit.
    pub fn push(&self, trail: DecisionTrail) {
        let mut state = self.inner.lock();
        let request = trail.request.clone();
        if state
            .trails
            .insert(request.clone(), Arc::new(trail))
            .is_none()
        {
            state.order.push_back(request);
        }
        if state.order.len() > RING_LIMIT
            && let Some(oldest) = state.order.pop_front()
        {
            state.trails.remove(&oldest);
        }
    }

    /// Trail of `request`, if it is still kept.
    pub fn find(&self, request: &str) -> Option<Arc<DecisionTrail>> {
        self.inner.lock().trails.get(request).cloned()
    }
}
