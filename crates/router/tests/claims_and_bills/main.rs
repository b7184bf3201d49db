//! Claims and bills between linked routers, with faults of the log.

mod bills;
mod claims;
mod linked_routers;
mod steady_load;
