//! Crash containment: limits the number of upstreams that one request can crash.
//!
//! Every request in flight on a crashed upstream becomes a suspect. Suspects are retried in
//! isolation: one suspect per upstream and, where possible, without other requests. A request that
//! crashed two upstreams is quarantined on every router. Its crashes are then explained, and the
//! other suspects of these crashes are cleared.

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
