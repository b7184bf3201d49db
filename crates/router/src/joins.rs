//! Sends of one request that arrive while its run is in progress at this router.
//!
//! They get the bytes of that run from its start. A run goes on as long as one of its callers
//! listens. Joins across routers exist for claimed service calls only, see [`crate::claims`].

mod join_table;
mod request_fingerprint;
mod run_feed;
mod run_listener;
mod shared_run;

pub use join_table::{JoinStart, JoinTable, other_request};
pub use request_fingerprint::RequestFingerprint;
pub use run_feed::RunFeed;
pub use run_listener::RunListener;
pub use shared_run::SharedHead;
