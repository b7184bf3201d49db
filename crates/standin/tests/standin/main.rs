//! Tests of the stand-ins over their published protocols.

mod calls;
mod engine;
mod platform;
mod service;
