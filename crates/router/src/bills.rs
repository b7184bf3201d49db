//! Bills: made durable before the end of an answer is released.
//!
//! A bill is durable once it is on the log, or held by two peers in other availability zones.
//! Whoever holds it flushes it when the log answers; the fold counts the first one only.

mod bill_desk;
mod bill_drain;
mod bill_holds;
mod bill_index;
mod bill_message;
mod bill_plugin;
mod bill_release;
mod bill_shard;
mod logged_keys;

pub use bill_desk::BillDesk;
pub use bill_drain::drain;
pub use bill_index::is_billed;
pub use bill_release::release;
