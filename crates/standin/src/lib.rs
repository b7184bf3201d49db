//! Emulators of the external systems that the routers depend on: the platform, model engines, plain
//! services, and the metadata store and the upstreams of the users' platform.
//!
//! Each stand-in runs in-process through its `start` function or as a separate process through
//! [`app`]. Each of them accepts fault orders below `/standin/`; platform, engine and service also
//! serve counters there.

pub mod app;
pub mod brittle;
pub mod counters;
pub mod digest;
pub mod engine;
pub mod faults;
pub mod platform;
pub mod raw_http;
mod registration;
pub mod replica;
mod reply;
pub mod server;
pub mod service;
pub mod store;

pub use brittle::{BrittleOptions, BrittleStandin, BrittleTimes};
pub use engine::{EngineOptions, EngineStandin};
pub use faults::FaultOrder;
pub use platform::{PlatformOptions, PlatformStandin};
pub use registration::StartError;
pub use replica::{ReplicaOptions, ReplicaPlan, ReplicaStandin};
pub use server::{CrashMode, StandinServer};
pub use service::{ServiceOptions, ServiceStandin};
pub use store::{StoreCopy, StoreStandin};
