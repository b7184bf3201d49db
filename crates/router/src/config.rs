//! Configuration of this router: the cell that requests read, the reader that follows the log, and
//! the exchange with other routers while the log is unavailable.

mod catch_up;
mod config_cell;
mod config_loader;
mod config_message;
mod config_tail;
mod hash_audit;
mod record_ring;
mod snapshot_schedule;
mod snapshot_writer;

pub use catch_up::compare_with_peers;
pub use config_cell::{ConfigCell, ConfigStatus};
pub use config_message::{ConfigQuery, ConfigReply};
pub use snapshot_schedule::SnapshotSchedule;

/// Stream of the log that holds configuration records.
pub const CONFIG_STREAM: &str = "config";
