//! Decision trails: what was decided about each recent request, and why.

mod decision_trail;
mod trail_ring;

pub use decision_trail::{AttemptNote, AttemptResult, DecisionTrail, TrailEnd};
pub use trail_ring::TrailRing;

use ferry_kernel::wall_clock;

use crate::caller::CallerRequest;
use crate::core::RouterCore;

/// Trail of a request that has just come.
pub fn begin(core: &RouterCore, request: &CallerRequest, target: &str) -> DecisionTrail {
    DecisionTrail {
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
