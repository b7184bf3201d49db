//! All rules of one revision, indexed for look-up by host, path and key.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::RouteRule;
use crate::names::{ModelName, ServiceName, WorkspaceName};

/// Bounds on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Longest head of a request, in bytes.
    pub head_bytes: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time that a caller may take for the head.
    pub head_time: Duration,
    /// Time that a caller's connection may be idle.
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
pub struct SizeCost {
    /// Model.
    pub model: ModelName,
    /// Price of 1,000 generated tokens; tokens read count as a quarter.
    pub cost: f64,
}

/// A service as the configuration describes it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Name.
    pub name: ServiceName,
    /// Most connections that one upstream accepts from all routers together.
    pub connections: u32,
    /// Models with their prices, in the order of the configuration; empty for plain services.
    pub models: Vec<SizeCost>,
}

/// Workspace that a key belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyHolder {
    /// Workspace.
    pub workspace: WorkspaceName,
    /// Rank that takes precedence over the rule's, if the workspace has one.
    pub priority: Option<u8>,
}

/// What a request's key allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyVerdict<'a> {
    /// The request needs no key.
    Open,
    /// The key belongs to this workspace.
    Held(&'a KeyHolder),
    /// The key is missing, or nobody's.
    Unknown,
}

/// Rules of one revision; swapped as a whole.
#[derive(Debug, Clone, Default)]
pub struct RuleSet {
    /// Number of the configuration; grows with each change.
    pub revision: u64,
    /// Bounds on what callers may send.
    pub limits: RequestLimits,
    /// Rules by host, the longest prefix first.
    rules: HashMap<String, Vec<Arc<RouteRule>>>,
    /// Holders by key; empty where no request needs one.
    keys: HashMap<String, KeyHolder>,
    services: HashMap<ServiceName, ServiceSpec>,
}

impl RuleSet {
    /// Indexes the rules, keys and services of one revision.
    pub fn new(
        revision: u64,
        limits: RequestLimits,
        rules: Vec<RouteRule>,
        keys: HashMap<String, KeyHolder>,
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
            keys,
            services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
        }
    }

    /// The rule with the longest prefix that begins `path`, among those of `host`.
    pub fn find_rule(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let host = host.to_ascii_lowercase();
        let bare = host.rsplit_once(':').map(|(name, _)| name);
        let rules = self
            .rules
            .get(&host)
            .or_else(|| bare.and_then(|bare| self.rules.get(bare)))?;
        rules
            .iter()
            .find(|rule| path.starts_with(rule.path_prefix.as_str()))
    }

    /// What `key` allows on `rule`.
    pub fn check_key(&self, rule: &RouteRule, key: Option<&str>) -> KeyVerdict<'_> {
        match key.and_then(|key| self.keys.get(key)) {
            Some(holder) => KeyVerdict::Held(holder),
            None if rule.public || self.keys.is_empty() => KeyVerdict::Open,
            None => KeyVerdict::Unknown,
        }
    }

    /// Description of `service`, if the configuration has one.
    pub fn service(&self, service: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(service)
    }

    /// Number of rules.
    pub fn rule_count(&self) -> usize {
        self.rules.values().map(Vec::len).sum()
    }
}
