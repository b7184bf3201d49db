//! Rules for relayed requests: which service answers a host and path, which API keys are accepted,
//! and which request limits apply.

mod allowed_regions;
mod key_policy;
mod route_rule;
mod rule_set;
mod run_kind;

pub use allowed_regions::AllowedRegions;
pub use key_policy::KeyPolicy;
pub use route_rule::{RouteRule, ServiceShare};
pub use rule_set::{
    KeyHolder, KeyVerdict, ModelCost, RequestLimits, RuleMatch, RuleSet, ServiceSpec,
    UnreadableRule,
};
pub use run_kind::RunKind;
