//! Emulator of what the fleet is served by: the platform, model engines and plain services.
//!
//! Each stand-in runs in-process through its `start` function or as a process of its own through
//! [`app`]. All of them answer below `/standin/`: fault orders, and counters that say what ran.

pub mod app;
pub mod counters;
pub mod digest;
pub mod engine;
pub mod faults;
pub mod platform;
mod registration;
pub mod replica;
mod reply;
pub mod server;
pub mod service;
pub mod store;

pub use engine::{EngineOptions, EngineStandin};
pub use faults::FaultOrder;
pub use platform::{PlatformOptions, PlatformStandin};
pub use registration::StartError;
pub use replica::{ReplicaOptions, ReplicaPlan, ReplicaStandin};
pub use server::{CrashMode, StandinServer};
pub use service::{ServiceOptions, ServiceStandin};
pub use store::StoreStandin;
