//! Tests of the real binaries: a fleet of processes on loopback addresses.

mod added_time;
mod cascades;
mod containment;
mod documented_calls;
mod guard;
mod id_window;
mod idle;
mod intake;
mod joined_sends;
mod ledger_tool;
mod letters;
mod log_outage;
mod logged_bills;
mod operator;
mod planned_stop;
mod router_kill;
mod run_once;
mod sample;
mod thin_path;
