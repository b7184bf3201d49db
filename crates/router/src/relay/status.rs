//! Status of a relay, and the explanation of its choices, for operators.

mod placement_report;
mod relay_status;
mod service_status;

pub use placement_report::{
    CandidateReport, Exclusion, PlacementPoints, PlacementReport, PlacementRequest,
    PlacementRequestError, RejectionReport, StartReport,
};
pub use relay_status::{RelayStatus, RolloutStatus};
pub use service_status::ServiceStatus;
