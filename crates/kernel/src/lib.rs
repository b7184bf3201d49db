//! What every daemon of the project shares: settings, logs, metrics, shards,
//! lifecycle and small HTTP helpers.

pub mod http;
pub mod lifecycle;
pub mod logs;
pub mod metrics;
pub mod settings;
pub mod shards;
pub mod ticks;
pub mod wall_clock;
