//! Tests of the real binaries: a fleet of processes on loopback addresses.

mod sample;
mod thin_path;
