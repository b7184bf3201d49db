//! Crash containment: a request that crashes upstreams is isolated, then refused by all routers.

mod crash_desk;
mod quarantine_plugin;
mod suspect_turn;

pub use crash_desk::CrashDesk;
pub use suspect_turn::SuspectTurn;
