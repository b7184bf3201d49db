//! Tests of the stand-ins over their published protocols.

mod calls;
mod engine;
mod faults;
mod platform;
mod service;
