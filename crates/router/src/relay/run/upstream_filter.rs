//! Which upstreams of a service a request may be sent to at all, before their load is compared.

use std::sync::Arc;

use ferry_decisions::names::ServiceName;
use ferry_decisions::ruleset::AllowedRegions;
use ferry_decisions::time::MonotonicTime;
use ferry_platform::host_settings::HostSettings;

use crate::relay::RelayCore;
use crate::relay::request::{RefusalReason, RelayRequest};
use crate::relay::status::Exclusion;
use crate::relay::upstreams::RelayUpstream;

/// Excludes the upstreams of evacuated zones, and those outside the regions in which a request may be handled.
pub(super) struct UpstreamFilter<'a> {
    core: &'a RelayCore,
    settings: Arc<HostSettings>,
    regions: AllowedRegions,
    now: MonotonicTime,
}

impl<'a> UpstreamFilter<'a> {
    /// The filter for `request` at `now`.
    pub(super) fn of(core: &'a RelayCore, request: &RelayRequest, now: MonotonicTime) -> Self {
        Self {
            core,
            settings: core.settings.load_full(),
            regions: request.allowed_regions(),
            now,
        }
    }

    /// Whether nothing of the request may be sent to `upstream`.
    pub(super) fn excludes(&self, upstream: &RelayUpstream) -> bool {
        self.exclusion(upstream).is_some()
    }

    /// Why nothing of the request may be sent to `upstream`; `None` if it may.
    pub(super) fn exclusion(&self, upstream: &RelayUpstream) -> Option<Exclusion> {
        if self.is_evacuated(upstream) {
            Some(Exclusion::Evacuated)
        } else if !self.is_in_region(upstream) {
            Some(Exclusion::RegionNotAllowed)
        } else if self.lacks_way(upstream) {
            Some(Exclusion::NoAllowedPath)
        } else {
            None
        }
    }

    /// Whether `upstream` gets no request of this kind because it leaves or is excluded.
    pub(super) fn is_out(&self, upstream: &RelayUpstream) -> bool {
        upstream.is_leaving() || self.excludes(upstream)
    }

    /// Why none of the upstreams of `service` that stay may get the request, whatever their load; `None` if one may.
    pub(super) fn bar(&self, service: &ServiceName) -> Option<RefusalReason> {
        let list = self.core.upstreams.of_service(service);
        let mut staying = list.iter().filter(|upstream| !upstream.is_leaving());
        staying.clone().next()?;
        let mut allowed = staying.clone();
        if !allowed.any(|upstream| self.is_in_region(upstream)) {
            return Some(RefusalReason::RegionNotAllowed);
        }
        let is_all_evacuated =
            staying.all(|upstream| self.is_evacuated(upstream) || !self.is_in_region(upstream));
        is_all_evacuated.then_some(RefusalReason::Evacuated)
    }

    fn is_evacuated(&self, upstream: &RelayUpstream) -> bool {
        let zone = &upstream.record.zone;
        self.core.evacuations.is_evacuated(zone, self.now)
    }

    fn is_in_region(&self, upstream: &RelayUpstream) -> bool {
        let region = self.settings.region_of(&upstream.record.zone);
        self.regions.allows(region)
    }

    /// Whether `upstream` is reached through another router only, to which the request must not be passed.
    fn lacks_way(&self, upstream: &RelayUpstream) -> bool {
        if self.regions.list().is_none() || !upstream.is_path_lost() {
            return false;
        }
        let detour = upstream.detour();
        detour.is_some_and(|router| !self.core.may_pass_to(&router, &self.regions))
    }
}
