//! Duplicates of a request that arrive while its run is in progress at this router.
//!
//! They receive the bytes of that run from its start. A run continues as long as at least one of
//! its callers is connected. Joins across routers exist only for claimed service calls, see
//! [`crate::claims`].

mod join_table;
mod request_fingerprint;
mod run_listener;
mod run_publisher;
mod shared_run;

pub use join_table::{JoinStart, JoinTable, other_request};
pub use request_fingerprint::RequestFingerprint;
pub use run_listener::RunListener;
pub use run_publisher::RunPublisher;
pub use shared_run::SharedHead;
