//! Tests of the relay against an emulated platform: a store and upstreams on loopback addresses.

mod blocked_router;
mod brittle_returns;
mod brittle_upstream;
mod callers_that_left;
mod cascades;
mod containment;
mod crashing_parts;
mod deployment;
mod events;
mod failures;
mod feeds;
mod fleet_storm;
mod histories;
mod late_answers;
mod late_reads;
mod limits;
mod mass_failure;
mod odd_entries;
mod path_cuts;
mod raw_replica;
mod requests;
mod retry_budget;
mod rollouts;
mod rules;
mod stops;
mod unframed;
