//! Which routers read the store, and from whom the others sync.
//!
//! Load patterns: all routers start at the same time; the store is down, slow, or turns some routers away; routers that
//! read it for others are lost or cut off. In each of them the reads of the whole fleet are bounded by the number of
//! availability zones, not by the number of routers.

mod router_entry;
mod store_probe;
mod sync_order;
mod sync_planner;

pub use router_entry::RouterEntry;
pub use store_probe::{ProbePlace, StoreProbe};
pub use sync_order::SyncOrder;
pub use sync_planner::{SourceList, SyncOutcome, SyncPlanner};
