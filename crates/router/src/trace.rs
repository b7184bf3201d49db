//! Decision traces: the decisions on each recent request, with their reasons.

mod decision_trace;
mod trace_buffer;

pub use decision_trace::{AttemptRecord, AttemptResult, DecisionTrace, TraceOutcome};
pub use trace_buffer::TraceBuffer;

use ferry_kernel::wall_clock;

use crate::caller::CallerRequest;
use crate::core::RouterCore;

/// Creates the trace of a request that has just arrived.
pub fn begin(core: &RouterCore, request: &CallerRequest, target: &str) -> DecisionTrace {
    DecisionTrace {
        request: request.id.clone(),
        workspace: request.workspace.clone(),
        class: request.class,
        target: target.to_owned(),
        router: core.settings.host.clone(),
        arrived: wall_clock::now(),
        config_offset: core.config.view().next_offset,
        excluded: Vec::new(),
        attempts: Vec::new(),
        notes: Vec::new(),
        end: None,
    }
}
