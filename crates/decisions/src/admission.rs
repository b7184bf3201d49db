//! Deadline admission: refuses at once what cannot be answered in time.
//!
//! The wait follows from the upstream's present load, the service time from a quantile of the
//! steps that recent answers took and the present step duration. A wait that was measured is not used as a forecast: once it led to refusals,
//! nothing new would be measured and the refusals would never end.

mod admission_config;
mod deadline_admission;
mod decaying_histogram;
mod fair_share;
mod queue_rank;
mod service_estimate;

pub use admission_config::{AdmissionConfig, PriorityClass};
pub use deadline_admission::{
    AdmissionQuery, AdmissionRefusal, DeadlineAdmission, FinishEstimate, RefusalReason, higher_part,
};
pub use decaying_histogram::DecayingHistogram;
pub use fair_share::{ClassRates, FairLevel, FairStanding, WorkspaceDemand};
pub use queue_rank::QueueRank;
pub use service_estimate::{ServiceEstimate, ServiceHistory, ServiceQuery};
