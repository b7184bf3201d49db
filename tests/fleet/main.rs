//! End-to-end tests of the binaries: each runs a fleet of processes on loopback addresses.

mod added_latency;
mod admission;
mod cascades;
mod containment;
mod documented_calls;
mod end_to_end;
mod guard;
mod id_window;
mod idle;
mod joined_sends;
mod large_bodies;
mod ledger_tool;
mod letters;
mod log_outage;
mod logged_bills;
mod odd_answers;
mod odd_usage;
mod operator;
mod planned_stop;
mod router_kill;
mod run_once;
mod sample;
mod unframed;
