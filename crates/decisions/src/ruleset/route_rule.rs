//! Routing rule: maps a host and path prefix to services.

use std::time::Duration;

use smallvec::SmallVec;

use super::{AllowedRegions, RunKind};
use crate::names::{ModelName, RuleName, ServiceName};

/// A service that answers a share of a rule's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the other shares of the rule; a service of weight 0 gets no requests.
    pub weight: f64,
}

/// Handling of the requests to one host and path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteRule {
    /// Name of the rule; also the class of its requests.
    pub name: RuleName,
    /// Host that the rule applies to, in lower case.
    pub host: String,
    /// Path prefix that the rule applies to; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may run more than once, and the form of their answers.
    pub run: RunKind,
    /// Maximum number of upstreams that one request may be sent to; at least 1.
    pub attempts: u32,
    /// Time limit for a request, after which it gets a final answer.
    pub timeout: Duration,
    /// Latency target: time within which an answer, or its first event, has its full value.
    pub target_latency: Duration,
    /// Longest pause between two events for an answer to count as on time; absent when there is no
    /// such target.
    pub event_gap: Option<Duration>,
    /// Priority of the rule's requests; 0 is the most urgent.
    pub priority: u8,
    /// Services that answer, with their weights; never empty.
    pub shares: SmallVec<[ServiceShare; 2]>,
    /// Models of the cascade, cheapest first; empty when the caller selects the model.
    pub cascade: SmallVec<[ModelName; 3]>,
    /// Whether requests need no API key.
    pub public: bool,
    /// Whether requests benefit from an upstream that has processed parts of their prompt before.
    pub has_affinity: bool,
    /// Regions in which requests may be handled.
    pub regions: AllowedRegions,
}

impl RouteRule {
    /// Selects a service by weight; `point` is uniform in `0.0..1.0`.
    pub fn pick_service(&self, point: f64) -> Option<&ServiceName> {
        let total: f64 = self.shares.iter().map(|share| share.weight).sum();
        let mut remaining = point * total;
        for share in self.shares.iter().filter(|share| share.weight > 0.0) {
            if remaining < share.weight {
                return Some(&share.service);
            }
            remaining -= share.weight;
        }
        self.shares.last().map(|share| &share.service)
    }
}
