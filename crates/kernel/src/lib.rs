//! Infrastructure shared by all daemons of the project: settings, logs, metrics, a sharded map,
//! process lifecycle, clocks and small HTTP helpers.

pub mod http;
pub mod lifecycle;
pub mod logs;
pub mod loop_lag;
pub mod memory;
pub mod metrics;
pub mod panics;
pub mod settings;
pub mod shards;
pub mod supervisor;
pub mod ticks;
pub mod wall_clock;
