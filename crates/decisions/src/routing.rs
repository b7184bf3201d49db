//! Which versions a request may run on, and in what order they are tried.

mod route_plan;
mod route_query;

pub use route_plan::{ExclusionReason, PlanError, RoutePlan, RouteStage, is_allowed};
pub use route_query::{RouteQuery, WorkKind};
