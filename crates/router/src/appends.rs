//! Appends to the platform's log and reading back, as claims and bills need them.

mod append_gate;
mod stream_reader;

pub use append_gate::AppendGate;
pub use stream_reader::{StreamStart, find_start};
