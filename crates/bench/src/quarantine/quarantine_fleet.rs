//! Simulated routers with their crash pools, and upstreams with their requests in flight.

use ferry_decisions::names::{HostName, WorkspaceName};
use ferry_decisions::quarantine::{CrashPool, Placement, RequestFingerprint, RunOutcome};
use ferry_decisions::time::UnixMillis;

use super::{QuarantineExperiment, QuarantineVariant};

/// One upstream.
pub(super) struct FleetUpstream {
    pub(super) host: HostName,
    /// Time at which the upstream becomes available, in milliseconds.
    pub(super) available_from: u64,
    /// Indices of the requests in flight.
    pub(super) running: Vec<usize>,
}

/// All routers and upstreams.
pub(super) struct QuarantineFleet {
    variant: QuarantineVariant,
    pools: Vec<CrashPool>,
    sent_revisions: Vec<u64>,
    pub(super) upstreams: Vec<FleetUpstream>,
}

impl QuarantineFleet {
    pub(super) fn new(experiment: &QuarantineExperiment, variant: QuarantineVariant) -> Self {
        let router = |index| CrashPool::new(HostName::new(&format!("router-{index}")));
        let upstream = |index| FleetUpstream {
            host: HostName::new(&format!("engine-{index:02}")),
            available_from: 0,
            running: Vec::new(),
        };
        Self {
            variant,
            pools: (0..experiment.routers).map(router).collect(),
            sent_revisions: vec![0; experiment.routers],
            upstreams: (0..experiment.upstreams).map(upstream).collect(),
        }
    }

    pub(super) fn place(
        &mut self,
        router: usize,
        fingerprint: &RequestFingerprint,
        now: u64,
    ) -> Placement {
        if self.variant == QuarantineVariant::NoContainment {
            let avoid = Default::default();
            return Placement::Shared { avoid };
        }
        let live: Vec<HostName> = self
            .upstreams
            .iter()
            .filter(|upstream| upstream.available_from <= now)
            .map(|upstream| upstream.host.clone())
            .collect();
        self.pools[router].place(fingerprint, &live, UnixMillis(now))
    }

    /// The live upstream with the fewest requests; one of `avoid` only when there is no other.
    pub(super) fn least_loaded(&self, avoid: &[HostName], now: u64) -> Option<usize> {
        let live = (0..self.upstreams.len()).filter(|u| self.upstreams[*u].available_from <= now);
        live.min_by_key(|index| {
            let upstream = &self.upstreams[*index];
            (avoid.contains(&upstream.host), upstream.running.len())
        })
    }

    pub(super) fn index_of(&self, host: &HostName) -> Option<usize> {
        self.upstreams.iter().position(|u| u.host == *host)
    }

    pub(super) fn record_crash(
        &mut self,
        router: usize,
        upstream: usize,
        in_flight: &[RequestFingerprint],
        now: u64,
    ) {
        let host = &self.upstreams[upstream].host;
        self.pools[router].record_crash(host, in_flight, UnixMillis(now));
    }

    pub(super) fn finish(
        &mut self,
        router: usize,
        fingerprint: &RequestFingerprint,
        outcome: RunOutcome,
        now: u64,
    ) {
        self.pools[router].finish_run(fingerprint, outcome, UnixMillis(now));
    }

    /// Sends each router's new crash evidence to its peers, without delay.
    pub(super) fn exchange(&mut self) {
        if self.variant != QuarantineVariant::Pooled {
            return;
        }
        for from in 0..self.pools.len() {
            let delta = self.pools[from].delta_since(self.sent_revisions[from]);
            self.sent_revisions[from] = self.pools[from].revision();
            for to in (0..self.pools.len()).filter(|to| *to != from) {
                self.pools[to].merge(&delta);
            }
        }
    }
}

/// Fingerprint of the request with the given number.
pub(super) fn fingerprint(number: u64) -> RequestFingerprint {
    let workspace = WorkspaceName::new("workspace");
    RequestFingerprint::of(&workspace, "model", &number.to_be_bytes())
}
