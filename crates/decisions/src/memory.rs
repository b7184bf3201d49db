//! How the memory of a host is shared out.

mod memory_shares;

pub use memory_shares::MemoryShares;
