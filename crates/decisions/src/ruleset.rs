//! Rules in force for opaque requests: which service answers a host and path, on whose key, and
//! within which limits.

mod route_rule;
mod rule_set;
mod run_kind;

pub use route_rule::{RouteRule, ServiceShare};
pub use rule_set::{KeyHolder, KeyVerdict, RequestLimits, RuleSet, ServiceSpec, SizeCost};
pub use run_kind::RunKind;
