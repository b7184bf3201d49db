//! Shares of a host's memory for what others make a process hold.

/// Shares of the memory, as divisors.
const SMALL_REQUESTS_DIVISOR: usize = 16;
const LARGE_REQUESTS_DIVISOR: usize = 3;
const ANSWERS_DIVISOR: usize = 8;

/// Memory that each kind of bodies may take in one process, in bytes. What is left, about half, is for connections, the state of the fleet and
/// the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryShares {
    /// Beginnings of callers' requests, which are all of most requests.
    pub small_requests: usize,
    /// The rest of callers' requests that are longer.
    pub large_requests: usize,
    /// Upstreams' answers that are read completely before they are forwarded.
    pub answers: usize,
}

impl MemoryShares {
    /// Shares of `memory` bytes.
    pub const fn of(memory: usize) -> Self {
        Self {
            small_requests: memory / SMALL_REQUESTS_DIVISOR,
            large_requests: memory / LARGE_REQUESTS_DIVISOR,
            answers: memory / ANSWERS_DIVISOR,
        }
    }
}
