//! Access to the platform's log for claims and bills: rate-limited appends, and the look-up of the offset
//! from which to read.

mod append_limiter;
mod stream_start;

pub use append_limiter::AppendLimiter;
pub use stream_start::{StreamStart, find_start};
