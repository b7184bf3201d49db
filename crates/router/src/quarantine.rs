//! Crash containment: requests that crash upstreams are kept apart and at last refused everywhere.

mod crash_desk;
mod quarantine_plugin;
mod suspect_turn;

pub use crash_desk::CrashDesk;
pub use suspect_turn::SuspectTurn;
