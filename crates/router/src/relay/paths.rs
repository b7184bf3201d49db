//! Network paths from this router to the upstreams: which are lost, and the routers through which the upstreams behind a lost path are
//! reached.

mod end_check;
mod identity_query;
mod open_link;
mod path_keeper;
mod path_manager;
mod path_message;
mod path_query;
mod survival_check;
mod tunnel_server;
mod tunnel_stream;
mod upstream_path;
mod witness_query;

pub use end_check::{LastEndCheck, check_process};
pub use open_link::{DETOUR_WAIT, open_link, record_lost_path, record_success};
pub use path_manager::PathManager;
pub use path_message::UpstreamStatement;
pub use path_query::{answer_message, tell_router};
pub use survival_check::check_survival;
pub use tunnel_server::tunnel_handler;
pub use tunnel_stream::TunnelState;
pub use upstream_path::UpstreamPath;

use ferry_kernel::supervisor::TaskPlan;

use super::relay_core::SharedCore;

/// Starts the tasks that probe lost paths and look for routers that reach their upstreams.
pub fn start(core: &SharedCore) {
    core.keep(
        TaskPlan::essential("detour search"),
        path_keeper::find_detours,
    );
    core.keep(TaskPlan::essential("path probes"), path_keeper::probe_paths);
}
