//! Bills, made durable before the end of an answer is released to the caller.
//!
//! A bill is durable once it is on the log, or once two peers in other availability zones hold a
//! copy. Every router that holds a copy appends it once the log answers again, unless it learns
//! that the bill is logged; the fold counts only the first bill of a request.

mod bill_copy_store;
mod bill_drain;
mod bill_index;
mod bill_manager;
mod bill_message;
mod bill_plugin;
mod bill_release;
mod bill_shard;
mod logged_keys;

pub use bill_drain::drain;
pub use bill_index::is_billed;
pub use bill_manager::BillManager;
pub use bill_release::release;
