//! Crash containment: a request that crashes upstreams is isolated, then refused by all routers.

mod crash_manager;
mod crash_tracker;
mod quarantine_plugin;

pub use crash_manager::CrashManager;
pub use crash_tracker::CrashTracker;
