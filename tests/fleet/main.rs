//! Tests of the real binaries: a fleet of processes on loopback addresses.

mod ledger_tool;
mod letters;
mod log_outage;
mod operator;
mod run_once;
mod sample;
mod thin_path;
