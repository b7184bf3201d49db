//! Claims and bills between connected routers, with and without faults of the log.

mod bills;
mod claims;
mod linked_routers;
mod steady_load;
