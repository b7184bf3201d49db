//! Configuration in this router: the cell that requests read and the tail of the log.

mod config_cell;
mod config_loader;
mod config_tail;

pub use config_cell::{ConfigCell, ConfigStatus};

/// Stream of the log that holds configuration records.
pub const CONFIG_STREAM: &str = "config";
