//! Bounded store of the most recent decision traces.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use ferry_decisions::names::RequestId;
use parking_lot::Mutex;

use super::DecisionTrace;

/// Maximum number of traces kept.
const TRACE_LIMIT: usize = 4_096;

/// Traces of finished requests; the oldest are removed first.
#[derive(Debug, Default)]
pub struct TraceBuffer {
    inner: Mutex<BufferState>,
}

#[derive(Debug, Default)]
struct BufferState {
    /// Request identifiers in the order of insertion, one per trace.
    order: VecDeque<RequestId>,
    traces: HashMap<RequestId, Arc<DecisionTrace>>,
}

impl TraceBuffer {
    /// Stores `trace` and removes the oldest trace beyond the limit.
    pub fn push(&self, trace: DecisionTrace) {
        let mut state = self.inner.lock();
        let request = trace.request.clone();
        if state
            .traces
            .insert(request.clone(), Arc::new(trace))
            .is_none()
        {
            state.order.push_back(request);
        }
        if state.order.len() > TRACE_LIMIT
            && let Some(oldest) = state.order.pop_front()
        {
            state.traces.remove(&oldest);
        }
    }

    /// Returns the trace of `request` if it is still stored.
    pub fn find(&self, request: &str) -> Option<Arc<DecisionTrace>> {
        self.inner.lock().traces.get(request).cloned()
    }
}
