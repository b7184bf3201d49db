//! Computes the versions that a request may run on, and the order in which they are tried.

mod route_plan;
mod route_query;

pub use route_plan::{ExclusionReason, PlanError, RoutePlan, RouteStage, is_allowed};
pub use route_query::{RouteQuery, SessionBinding};
