//! Selects one upstream among the replicas of a model version or service.

mod choice_policy;
mod in_flight_history;
mod upstream_choice;
mod upstream_view;

pub use choice_policy::{ChoiceConfig, ChoicePolicy};
pub use in_flight_history::{InFlightHistory, RankCounts};
pub use upstream_choice::{ChoicePoints, ChoiceQuery, NoUpstream, UpstreamChoice};
pub(crate) use upstream_choice::{EligibleList, affinity_weight, eligible_upstreams, index_at};
pub use upstream_view::{RankMix, ReportedLoad, UpstreamLoad, UpstreamState, UpstreamView};
