//! Load-balancing policies and their settings.

use serde::{Deserialize, Serialize};

closed_set! {
    /// Load-balancing policy.
    #[derive(Default)]
    pub enum ChoicePolicy {
        /// Each upstream in turn, regardless of load.
        RoundRobin,
        /// A random upstream, regardless of load.
        Random,
        /// The upstream with the fewest requests in its last load report, without correction.
        LeastReported,
        /// The cheaper of two random upstreams, by the load corrected for requests that started or
        /// ended since the last report; an upstream preferred by affinity goes first.
        #[default]
        TwoChoices,
    }
}

/// Settings of [`ChoicePolicy::TwoChoices`].
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ChoiceConfig {
    /// Factor on the cost of an upstream in another availability zone; at least 1.
    pub remote_zone_factor: f64,
    /// An upstream keeps its affinity while its cost is at most this multiple of the mean; at
    /// least 1.
    pub affinity_bound: f64,
    /// Requests that a preferred upstream may have above `affinity_bound` before affinity is
    /// ignored.
    pub affinity_slack: f64,
    /// Number of upstreams that one affinity key maps to, in order of preference; at least 1.
    pub affinity_homes: usize,
}

impl Default for ChoiceConfig {
    fn default() -> Self {
        Self {
            remote_zone_factor: 1.05,
            affinity_bound: 1.25,
            affinity_slack: 0.0,
            affinity_homes: 1,
        }
    }
}
