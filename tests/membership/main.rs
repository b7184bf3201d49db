//! Membership, the freshness lease and the spread of configuration, over real processes.

mod cuts;
mod freezes;
mod look;
mod partition;
#[path = "../fleet/sample.rs"]
mod sample;
mod stops;
mod writers;
