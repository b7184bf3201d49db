//! The router daemon, which answers callers' requests on allowed versions of the upstreams, and the
//! relay for the users' platform.

pub mod admin;
pub mod admission;
pub mod app;
pub mod appends;
pub mod bills;
pub mod caller;
pub mod claims;
pub mod config;
pub mod core;
pub mod daemon;
pub mod dispatch;
pub mod guard;
pub mod joins;
pub mod lease;
pub mod membership;
pub mod peer;
pub mod plugin;
pub mod ports;
pub mod quarantine;
pub mod relay;
pub mod settings;
pub mod trace;
pub mod upstream;
