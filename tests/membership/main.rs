//! Tests of membership, the freshness lease and the propagation of configuration, on fleets of processes.

mod concurrent_changes;
mod disconnects;
mod fleet_checks;
mod freezes;
mod odd_records;
mod partition;
#[path = "../fleet/sample.rs"]
mod sample;
mod stops;
