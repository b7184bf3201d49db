//! The path of opaque requests on the users' platform: a request is matched to a rule, bound to
//! one upstream, and its answer passed on.

mod answer_pace;
mod fleet;
pub mod relay_app;
mod relay_core;
mod relay_daemon;
mod relay_flags;
mod request;
mod rollouts;
mod run;
pub mod status;
mod store_contact;
mod upstreams;
mod watch;

pub use relay_core::RelayCore;
pub use relay_daemon::{RelayDaemon, RelayOptions, STATUS_PATH};
