//! Tests of the real binaries: a fleet of processes on loopback addresses.

mod documented_calls;
mod intake;
mod ledger_tool;
mod letters;
mod log_outage;
mod operator;
mod router_kill;
mod run_once;
mod sample;
mod thin_path;
