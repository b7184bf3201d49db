//! Status of a relay, for operators.

mod relay_status;
mod service_status;

pub use relay_status::{RelayStatus, RolloutStatus};
pub use service_status::ServiceStatus;
