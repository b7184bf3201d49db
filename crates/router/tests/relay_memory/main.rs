//! Tests of a relay's memory, in a process of their own, since they measure all of it.

#[allow(dead_code, unused_imports)] // Shared with the other tests of relays, which use the rest.
#[path = "../relay/deployment.rs"]
mod deployment;
mod endless;
#[allow(dead_code)]
#[path = "../relay/raw_replica.rs"]
mod raw_replica;
