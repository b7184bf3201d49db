//! The router daemon.

pub mod peer;
