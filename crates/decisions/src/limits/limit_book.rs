//! What a router last heard of the limits of upstreams and services.

use std::collections::HashMap;
use std::time::Duration;

use super::{BrittleService, StatedLimits};
use crate::names::ServiceName;
use crate::registry::UpstreamIncarnation;
use crate::time::MonotonicTime;

/// Time after which an upstream of which nothing was heard is forgotten if it names no limit.
const ENDED_MEMORY: Duration = Duration::from_secs(60);
/// Maximum number of upstreams held; the ones heard of longest ago are dropped.
const UPSTREAM_LIMIT: usize = 4_096;

/// The newest statement about the limits of each upstream, and the services whose upstreams are brittle.
///
/// Limits in requests per second belong to one process of an upstream. That upstreams are brittle holds for their service: for those that have
/// not answered since one of them said so, it is assumed.
#[derive(Debug, Default)]
pub struct LimitBook {
    heard: HashMap<UpstreamIncarnation, HeardLimit>,
    brittle: HashMap<ServiceName, BrittleService>,
}

/// The newest statement about one upstream's limits.
#[derive(Debug, Clone, PartialEq)]
pub struct HeardLimit {
    /// Service of the upstream; absent if the router that heard the statement did not name it.
    pub service: Option<ServiceName>,
    /// What it stated; none if it names no limit any more.
    pub stated: StatedLimits,
    /// When that was heard by the router that heard it.
    pub heard_at: MonotonicTime,
}

impl LimitBook {
    /// Whether any upstream has a limit, or may have one.
    pub fn has_limits(&self) -> bool {
        !self.brittle.is_empty() || self.heard.values().any(|heard| !heard.stated.is_none())
    }

    /// The newest statement of `upstream`.
    pub fn heard(&self, upstream: &UpstreamIncarnation) -> Option<&HeardLimit> {
        self.heard.get(upstream)
    }

    /// Services whose upstreams are brittle.
    pub fn brittle(&self) -> impl Iterator<Item = (&ServiceName, &BrittleService)> {
        self.brittle.iter()
    }

    /// Limits of `upstream` of `service` as far as known or assumed.
    pub fn limits(&self, upstream: &UpstreamIncarnation, service: &ServiceName) -> StatedLimits {
        let heard = self.heard.get(upstream);
        let stated = heard.map_or_else(StatedLimits::default, |heard| heard.stated);
        let assumed = self.brittle.get(service).filter(|service| {
            // What it answered before others said that they are brittle says nothing of the present.
            heard.is_none_or(|heard| heard.heard_at < service.since)
        });
        StatedLimits {
            rejections: stated
                .rejections
                .or(assumed.map(|service| service.survived)),
            ..stated
        }
    }

    /// Whether a statement of `upstream` of `service` in the answer to a request that was sent at `sent_at` may be older than what is known.
    pub fn is_outdated(
        &self,
        upstream: &UpstreamIncarnation,
        service: &ServiceName,
        sent_at: MonotonicTime,
    ) -> bool {
        let own = self.heard.get(upstream).map(|heard| heard.heard_at);
        let of_service = self.brittle.get(service).map(|service| service.since);
        own.max(of_service).is_some_and(|known| known >= sent_at)
    }

    /// Records a statement, unless a newer one is known; returns whether the limits of the upstream differ from those before.
    pub fn record(&mut self, upstream: &UpstreamIncarnation, heard: HeardLimit) -> bool {
        let known = self.heard.get(upstream);
        if known.is_some_and(|known| known.heard_at >= heard.heard_at) {
            return false;
        }
        let is_known = known.is_some();
        let before = known.map_or_else(StatedLimits::default, |known| known.stated);
        let stated = heard.stated;
        let service = heard.service.clone();
        if let (Some(service), Some(survived)) = (&service, stated.rejections) {
            let statement = BrittleService {
                survived,
                since: heard.heard_at,
                heard_at: heard.heard_at,
            };
            self.record_service(service, statement);
        }
        let is_assumed = service
            .as_ref()
            .is_some_and(|service| self.brittle.contains_key(service));
        if !is_known && stated.is_none() && !is_assumed {
            return false;
        }
        self.heard.insert(upstream.clone(), heard);
        self.shrink();
        if let Some(service) = service.filter(|_| stated.rejections.is_none()) {
            self.end_service(&service);
        }
        before != stated
    }

    /// Records that the upstreams of `service` are brittle.
    pub fn record_service(&mut self, service: &ServiceName, statement: BrittleService) {
        let known = self.brittle.get_mut(service);
        match known {
            Some(known) => known.merge(&statement),
            None => {
                self.brittle.insert(service.clone(), statement);
            }
        }
    }

    /// Forgets the upstreams for which `is_listed` returns false.
    pub fn retain(&mut self, is_listed: impl Fn(&UpstreamIncarnation) -> bool) {
        self.heard.retain(|upstream, _| is_listed(upstream));
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.brittle.retain(|_, service| !service.is_expired(now));
        let brittle = &self.brittle;
        let is_needed = |heard: &HeardLimit| {
            let service = heard.service.as_ref();
            service.is_some_and(|service| brittle.contains_key(service))
        };
        self.heard.retain(|_, heard| {
            !heard.stated.is_none() || now.since(heard.heard_at) < ENDED_MEMORY || is_needed(heard)
        });
    }

    /// All statements.
    pub fn statements(&self) -> impl Iterator<Item = (&UpstreamIncarnation, &HeardLimit)> {
        self.heard.iter()
    }

    /// Ends the statement about `service` once an upstream answers without it and none that is listed last answered with it.
    fn end_service(&mut self, service: &ServiceName) {
        let Some(statement) = self.brittle.get(service) else {
            return;
        };
        let mut of_service = self
            .heard
            .values()
            .filter(|heard| heard.service.as_ref() == Some(service));
        let is_stated = of_service
            .clone()
            .any(|heard| heard.stated.rejections.is_some());
        let is_denied = of_service.any(|heard| heard.heard_at > statement.heard_at);
        if !is_stated && is_denied {
            self.brittle.remove(service);
        }
    }

    fn shrink(&mut self) {
        if self.heard.len() <= UPSTREAM_LIMIT {
            return;
        }
        let oldest = self.heard.iter().min_by_key(|(_, heard)| heard.heard_at);
        if let Some(upstream) = oldest.map(|(upstream, _)| upstream.clone()) {
            self.heard.remove(&upstream);
        }
    }
}
