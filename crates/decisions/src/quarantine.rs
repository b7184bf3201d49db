//! Crash containment: keeps a request that crashes upstreams from crashing many.
//!
//! Every request in flight on a crashed upstream is a suspect. Suspects run again one to an
//! upstream, apart from each other and, where possible, from other requests. A request that
//! crashed two upstreams is quarantined on every router; that explains its crashes, and the
//! other suspects of these crashes are suspects no more.

mod crash_delta;
mod crash_pool;
mod crash_tally;
mod request_fingerprint;
mod run_table;
mod suspect_entry;

pub use crash_delta::{CrashDelta, CrashRecord, RunState, SurvivalRecord, SuspectRun};
pub use crash_pool::{CrashPool, Placement, RunOutcome, Suspicion};
pub use crash_tally::CrashTally;
pub use request_fingerprint::RequestFingerprint;
