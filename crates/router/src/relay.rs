//! The relay for the users' platform: matches each request to a route rule, sends it to one
//! upstream without interpreting its body, and passes the response on.

mod class_metrics;
mod confirmation_time;
mod crashes;
mod evacuation;
mod fleet;
mod paths;
mod permits;
pub mod relay_app;
mod relay_core;
mod relay_daemon;
mod relay_flags;
mod request;
mod rollouts;
mod rules_progress;
mod rules_record;
mod run;
pub mod status;
mod topic_progress;
mod upstreams;
mod watch;
mod work_end;
mod workload;

pub use class_metrics::{ClassMetrics, ClassRequest, ClassSeries};
pub use crashes::apply_synced as apply_synced_crashes;
pub use relay_core::{RelayCore, SharedCore};
pub use relay_daemon::{PLACEMENT_PATH, RelayDaemon, RelayOptions, STATUS_PATH};
pub use watch::{SyncedUpstreams, apply_synced_upstreams};
