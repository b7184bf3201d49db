//! All rules of one configuration revision, indexed by host, path and API key.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::{AllowedRegions, KeyPolicy, RouteRule};
use crate::limits::ColdSpec;
use crate::names::{ModelName, ServiceName, WorkspaceName};

/// Size and time limits on requests from callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Time limit for receiving the head.
    pub head_time: Duration,
    /// Time limit for an idle connection of a caller.
    pub idle_time: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            head_bytes: 64 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_time: Duration::from_secs(5),
            idle_time: Duration::from_secs(60),
        }
    }
}

/// Price of a model of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelCost {
    /// Name of the model.
    pub model: ModelName,
    /// Price of 1,000 generated tokens; a prompt token costs a quarter of a generated one.
    pub cost: f64,
}

/// A service as described by the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Maximum number of connections that one upstream accepts from all routers together.
    pub connections: u32,
    /// Models with their prices, in the order of the configuration; empty for plain services.
    pub models: Vec<ModelCost>,
    /// Limit on requests to cold upstreams.
    pub cold: ColdSpec,
    /// Path of the health check, whose answer names the upstream; absent if the service has none.
    pub health_path: Option<String>,
}

/// Workspace that an API key belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyHolder {
    /// Name of the workspace.
    pub workspace: WorkspaceName,
    /// Priority of the workspace, which overrides the rule's; absent when the workspace has none.
    pub priority: Option<u8>,
    /// Regions in which its requests may be handled.
    pub regions: AllowedRegions,
}

/// A host and path prefix for which the configuration has a rule that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreadableRule {
    /// Host that the rule applies to, in lower case.
    pub host: String,
    /// Path prefix that the rule applies to.
    pub path_prefix: String,
}

/// What the configuration says of a host and path.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RuleMatch<'a> {
    /// This rule applies.
    Rule(&'a Arc<RouteRule>),
    /// The rule that applies cannot be read, so that no request may be sent.
    Unreadable,
    /// No rule applies.
    Unknown,
}

impl<'a> RuleMatch<'a> {
    /// The rule that applies; `None` if there is none that can be read.
    pub fn rule(self) -> Option<&'a Arc<RouteRule>> {
        match self {
            Self::Rule(rule) => Some(rule),
            Self::Unreadable | Self::Unknown => None,
        }
    }
}

/// Result of checking a request's API key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyVerdict<'a> {
    /// The request needs no key.
    Open,
    /// The key belongs to this workspace.
    Held(&'a KeyHolder),
    /// The key is missing or belongs to no workspace.
    Unknown,
}

/// Rules of one configuration revision; replaced as a whole.
#[derive(Debug, Clone, Default)]
pub struct RuleSet {
    /// Revision of the configuration; increases with each change.
    pub revision: u64,
    /// Limits on requests from callers.
    pub limits: RequestLimits,
    /// Rules by host, longest path prefix first.
    rules: HashMap<String, Vec<Arc<RouteRule>>>,
    unreadable: Vec<UnreadableRule>,
    keys: KeyPolicy,
    services: HashMap<ServiceName, ServiceSpec>,
}

impl RuleSet {
    /// Indexes the rules, keys and services of one revision.
    pub fn new(
        revision: u64,
        limits: RequestLimits,
        rules: Vec<RouteRule>,
        keys: KeyPolicy,
        services: Vec<ServiceSpec>,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<RouteRule>>> = HashMap::new();
        for rule in rules {
            by_host
                .entry(rule.host.clone())
                .or_default()
                .push(Arc::new(rule));
        }
        for rules in by_host.values_mut() {
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.path_prefix.len()));
        }
        Self {
            revision,
            limits,
            rules: by_host,
            unreadable: Vec::new(),
            keys,
            services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
        }
    }

    /// The same rules, and others that cannot be read: no shorter prefix takes their requests.
    #[must_use]
    pub fn with_unreadable(mut self, rules: Vec<UnreadableRule>) -> Self {
        self.unreadable = rules;
        self
    }

    /// The rule of `host` with the longest prefix of `path`; a port in `host` is ignored if no rule
    /// names it.
    pub fn find_rule(&self, host: &str, path: &str) -> RuleMatch<'_> {
        let host = host.to_ascii_lowercase();
        let without_port = host.rsplit_once(':').map(|(name, _)| name);
        let hosts = [Some(host.as_str()), without_port];
        let mut hosts = hosts.into_iter().flatten();
        let Some(host) = hosts.find(|host| self.names_host(host)) else {
            return RuleMatch::Unknown;
        };
        let rules = self.rules.get(host).into_iter().flatten();
        let mut matches = rules.filter(|rule| path.starts_with(rule.path_prefix.as_str()));
        let rule = matches.next();
        let length = rule.map_or(0, |rule| rule.path_prefix.len());
        let hides = |hidden: &UnreadableRule| {
            hidden.host == host
                && hidden.path_prefix.len() >= length
                && path.starts_with(hidden.path_prefix.as_str())
        };
        match rule {
            _ if self.unreadable.iter().any(hides) => RuleMatch::Unreadable,
            Some(rule) => RuleMatch::Rule(rule),
            None => RuleMatch::Unknown,
        }
    }

    fn names_host(&self, host: &str) -> bool {
        let is_unreadable = |rule: &UnreadableRule| rule.host == host;
        self.rules.contains_key(host) || self.unreadable.iter().any(is_unreadable)
    }

    /// Checks `key` for a request that matches `rule`.
    pub fn check_key(&self, rule: &RouteRule, key: Option<&str>) -> KeyVerdict<'_> {
        match key.and_then(|key| self.keys.holder(key)) {
            Some(holder) => KeyVerdict::Held(holder),
            None if rule.public || self.keys == KeyPolicy::Open => KeyVerdict::Open,
            None => KeyVerdict::Unknown,
        }
    }

    /// Result of checking a request with any key of `workspace`.
    pub fn check_workspace(&self, workspace: &str) -> KeyVerdict<'_> {
        let holder = self.keys.holder_of(workspace);
        holder.map_or(KeyVerdict::Unknown, KeyVerdict::Held)
    }

    /// Number of API keys; `None` if no request needs one.
    pub fn key_count(&self) -> Option<usize> {
        self.keys.key_count()
    }

    /// Description of `service`; `None` if the configuration has none.
    pub fn service(&self, service: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(service)
    }

    /// Longest time for which an upstream with a limit is cold after the evacuation of its zone; zero if no service has a limit.
    pub fn longest_cold_start(&self) -> Duration {
        let services = self.services.values();
        let starts = services.filter_map(|service| service.cold.limited_start());
        starts.max().unwrap_or_default()
    }

    /// Number of rules that cannot be read.
    pub fn unreadable_count(&self) -> usize {
        self.unreadable.len()
    }

    /// Number of rules that can be read.
    pub fn rule_count(&self) -> usize {
        self.rules.values().map(Vec::len).sum()
    }
}
