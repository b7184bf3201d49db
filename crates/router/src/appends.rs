//! Rate-limited appends to the platform's log and look-up of read offsets, for claims and bills.

mod append_limiter;
mod stream_reader;

pub use append_limiter::AppendLimiter;
pub use stream_reader::{StreamStart, find_start};
