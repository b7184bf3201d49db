//! Deadline admission: refuses a request immediately if it cannot be answered in time.
//!
//! The queue wait is computed from the upstream's current load, and the service time from a
//! quantile of the steps of recent answers and the current step duration. Measured waits are not
//! used as a forecast: once they caused refusals, no new waits would be measured and the refusals
//! would never end.

mod admission_config;
mod deadline_admission;
mod decaying_histogram;
mod fair_share;
mod priority_division;
mod queue_rank;
mod service_contention;
mod service_estimate;
mod service_shares;

pub use admission_config::{AdmissionConfig, PriorityClass};
pub use deadline_admission::{
    AdmissionQuery, AdmissionRefusal, DeadlineAdmission, FinishEstimate, RefusalReason,
    higher_rank_share,
};
pub use decaying_histogram::DecayingHistogram;
pub use fair_share::{ClassRates, FairLevel, FairStanding, WorkspaceDemand};
pub use priority_division::{PRIORITIES, divide_by_priority};
pub use queue_rank::QueueRank;
pub use service_contention::ServiceLoad;
pub use service_estimate::{ServiceEstimate, ServiceHistory, ServiceQuery};
pub use service_shares::{ServiceShares, ShareExcess, ShareFigures};
