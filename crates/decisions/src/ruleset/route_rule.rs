//! One rule: a selector on host and path, and the services that may answer.

use std::time::Duration;

use smallvec::SmallVec;

use super::RunKind;
use crate::names::{ModelName, RuleName, ServiceName};

/// A service that answers a part of a rule's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceShare {
    /// Service.
    pub service: ServiceName,
    /// Part of the requests relative to the other shares of the rule; 0 gets none.
    pub weight: f64,
}

/// How requests of one host and path prefix are answered.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteRule {
    /// Name of the rule; also the class of its requests.
    pub name: RuleName,
    /// Host that it applies to, in lower case.
    pub host: String,
    /// Prefix of the paths that it applies to; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub run: RunKind,
    /// Most upstreams that one request may be sent to; at least 1.
    pub attempts: u32,
    /// Time after which a request gets its final answer.
    pub timeout: Duration,
    /// Time within which an answer, or its first event, has its full worth.
    pub target_latency: Duration,
    /// Longest pause between two events of an answer that is on time.
    pub event_gap: Option<Duration>,
    /// Rank among the rules; 0 is the most urgent.
    pub priority: u8,
    /// Services that answer; never empty.
    pub shares: SmallVec<[ServiceShare; 2]>,
    /// Models of the cascade, cheapest first; empty where the caller names the model.
    pub cascade: SmallVec<[ModelName; 3]>,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether requests profit from an upstream that had their prompt's parts before.
    pub affine: bool,
}

impl RouteRule {
    /// The service that a request falls to; `point` is uniform in `0.0..1.0`.
    pub fn pick_service(&self, point: f64) -> Option<&ServiceName> {
        let total: f64 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = point * total;
        for share in self.shares.iter().filter(|share| share.weight > 0.0) {
            if left < share.weight {
                return Some(&share.service);
            }
            left -= share.weight;
        }
        self.shares.last().map(|share| &share.service)
    }
}
