//! Crash containment: limits the number of upstreams that one request can crash.
//!
//! Every request in flight on a crashed upstream becomes a suspect. Suspects are retried in
//! isolation: one suspect per upstream and, where possible, without other requests. A request that
//! crashed two upstreams, or one upstream twice, is quarantined on every router. If it was the only
//! suspect in one of these crashes, all of them are attributed to it, and the other suspects of
//! these crashes are cleared.
//!
//! Relayed requests are counted by [`CrashTally`] instead, over the whole fleet and beyond the life of its routers. Three
//! upstreams that ended under a request quarantine it; so do four that ended under a part of prompts on which no answer
//! was ever whole, and that no other part explains.

mod answer_counts;
mod crash_delta;
mod crash_pool;
mod crash_row;
mod crash_subject;
mod crash_tally;
mod part_suspect;
mod reported_rows;
mod request_fingerprint;
mod row_version;
mod run_table;
mod sound_parts;
mod suspect_entry;
mod tally_entry;

pub use crash_delta::{CrashDelta, CrashRecord, SurvivalRecord, SuspectRun, SuspectState};
pub use crash_pool::{CrashPool, Placement, RunOutcome, Suspicion};
pub use crash_row::{CrashRow, CrashRowKey};
pub use crash_subject::CrashSubject;
pub use crash_tally::{AnswerProof, CrashTally, CrashVerdict, RowOrigin};
pub use reported_rows::ReportedRows;
pub use request_fingerprint::RequestFingerprint;
