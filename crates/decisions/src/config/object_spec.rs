//! Contents of configuration objects, as operators write them.

use serde::{Deserialize, Serialize};

use super::ObjectKind;
use crate::labels::{LabelSelector, LabelSet};
use crate::names::{ModelName, ServiceName, VersionName};

/// Contents of one object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectSpec {
    /// A workspace.
    Workspace(WorkspaceSpec),
    /// A model.
    Model(ModelSpec),
    /// A version.
    Version(VersionSpec),
    /// A cascade.
    Cascade(CascadeSpec),
    /// A rule.
    Rule(RuleSpec),
}

impl ObjectSpec {
    /// Kind that this content belongs to.
    pub fn kind(&self) -> ObjectKind {
        match self {
            Self::Workspace(_) => ObjectKind::Workspace,
            Self::Model(_) => ObjectKind::Model,
            Self::Version(_) => ObjectKind::Version,
            Self::Cascade(_) => ObjectKind::Cascade,
            Self::Rule(_) => ObjectKind::Rule,
        }
    }
}

value_type! {
    /// A tenant: its keys, its rate limit and the services that it may call.
    pub struct WorkspaceSpec {
        /// Labels by which rules select the workspace.
        #[serde(default)]
        pub labels: LabelSet,
        /// SHA-256 digests of the workspace's keys, 64 hexadecimal digits each.
        pub key_digests: Vec<String>,
        /// Limit on the requests admitted over the whole fleet; unlimited if absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub limit: Option<RateLimit>,
        /// Plain services that the workspace may call.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub services: Vec<ServiceName>,
    }

    /// Limit on the requests of a workspace that are admitted.
    pub struct RateLimit {
        /// Requests per second over the whole fleet.
        pub requests_per_second: f64,
        /// Requests that may arrive at once above the rate.
        pub burst: u32,
    }

    /// A model: a name that callers put into requests.
    pub struct ModelSpec {
        /// Labels of the model.
        #[serde(default)]
        pub labels: LabelSet,
    }

    /// A version of a model.
    pub struct VersionSpec {
        /// Model that the version belongs to.
        pub model: ModelName,
        /// Labels by which rules and cascade stages select the version.
        #[serde(default)]
        pub labels: LabelSet,
        /// Phase, which decides what work the version may receive.
        #[serde(default)]
        pub phase: VersionPhase,
        /// Weight among the serving versions that a request may use, in units of 1/10,000.
        #[serde(default = "full_share")]
        pub share: u32,
        /// Price of 1,000 prompt tokens, in millionths of the currency unit.
        #[serde(default)]
        pub prompt_price: u64,
        /// Price of 1,000 completion tokens, in millionths of the currency unit.
        #[serde(default)]
        pub completion_price: u64,
        /// Guarded roll-out of the version; absent if it is in none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub rollout: Option<RolloutSpec>,
    }

    /// Limits of a guarded roll-out.
    pub struct RolloutSpec {
        /// Number of the roll-out; a trip stays in force until this number changes.
        pub epoch: u64,
        /// Most answers of the version that may be unrated at once over the whole fleet.
        pub unrated_limit: u32,
        /// Share of bad answers that the operator tolerates, from 0 to 1.
        pub tolerated_bad: f64,
        /// Share of bad answers at which the roll-out must stop, from 0 to 1.
        pub stopping_bad: f64,
        /// Effect of a trip on sessions that are pinned to the version.
        #[serde(default)]
        pub on_trip: TripPolicy,
    }

    /// An ordered list of stages, cheapest first.
    pub struct CascadeSpec {
        /// Model whose versions the stages select.
        pub model: ModelName,
        /// Stages in the order in which they run; at least one.
        pub stages: Vec<CascadeStage>,
        /// Score from 0 to 1 at which a stage's answer is accepted.
        pub quality_target: f64,
    }

    /// One stage of a cascade.
    pub struct CascadeStage {
        /// Versions that the stage may use.
        pub versions: LabelSelector,
    }

    /// A rule: the traffic to which it applies, and the versions that it allows and denies.
    pub struct RuleSpec {
        /// Labels of the workspaces to which the rule applies.
        #[serde(default)]
        pub workspaces: LabelSelector,
        /// Labels of the requests to which the rule applies.
        #[serde(default)]
        pub requests: LabelSelector,
        /// Labels of the versions that are allowed; none if absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub allow: Option<LabelSelector>,
        /// Labels of the versions that are denied, even if another rule allows them; none if absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub deny: Option<LabelSelector>,
        /// Versions allowed by name in addition to `allow`.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub allow_versions: Vec<VersionName>,
    }
}

closed_set! {
    /// Phase of a version, which decides what work it may receive.
    #[derive(Default)]
    pub enum VersionPhase {
        /// New sessions and all other work.
        #[default]
        Serving,
        /// Only work of sessions that are pinned to the version.
        Retiring,
        /// No new work.
        Withdrawn,
    }

    /// Phase that is in force for a version after a trip.
    #[derive(Default)]
    pub enum TripPolicy {
        /// Withdrawn: sessions pinned to the version end.
        #[default]
        Withdraw,
        /// Retiring: sessions pinned to the version continue.
        Retire,
    }
}

/// Default weight of a version, which is also the largest, in units of 1/10,000.
const FULL_SHARE: u32 = 10_000;

fn full_share() -> u32 {
    FULL_SHARE
}
