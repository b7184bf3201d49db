//! Counts requests in flight at their upstreams.

use std::sync::Arc;

use super::RelayUpstream;
use crate::relay::permits::SendPermit;
use crate::relay::workload::RunWatch;

/// Counts one request as in flight at its upstream, and holds its permit, until the guard is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    upstream: Arc<RelayUpstream>,
    permit: Option<Arc<SendPermit>>,
    watch: Option<RunWatch>,
}

impl InFlightGuard {
    /// Records that the head of a successful answer has come.
    pub fn record_head(&self) {
        if let Some(watch) = &self.watch {
            watch.record_head();
        }
    }

    /// Records that an event of the answer has come.
    pub fn record_event(&self) {
        if let Some(watch) = &self.watch {
            watch.record_event();
        }
    }

    /// Records that the answer has come to its end.
    pub fn record_end(&self) {
        if let Some(watch) = &self.watch {
            watch.record_end();
        }
        if let Some(permit) = &self.permit {
            permit.record_end();
        }
    }

    /// The request's permit, if it has one.
    pub fn permit(&self) -> Option<&SendPermit> {
        self.permit.as_deref()
    }
}

impl RelayUpstream {
    /// Counts a request, which has `permit` if it needs one, as in flight until the guard is dropped. Its run is observed by `watch`, if at all.
    pub fn begin(
        self: &Arc<Self>,
        permit: Option<Arc<SendPermit>>,
        watch: Option<RunWatch>,
    ) -> InFlightGuard {
        self.state.lock().in_flight += 1;
        InFlightGuard {
            upstream: Arc::clone(self),
            permit,
            watch,
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.upstream.state.lock().in_flight -= 1;
    }
}
