//! Routers with their crash pools, and upstreams with what runs on them.

use ferry_decisions::names::{HostName, WorkspaceName};
use ferry_decisions::quarantine::{CrashPool, Placement, RequestFingerprint, RunOutcome};
use ferry_decisions::time::UnixMillis;

use super::{QuarantineExperiment, QuarantineVariant};

/// One upstream.
pub(super) struct FleetUpstream {
    pub(super) host: HostName,
    /// Time from which on it is up.
    pub(super) up_from: u64,
    /// Requests in flight.
    pub(super) running: Vec<usize>,
}

/// All routers and upstreams.
pub(super) struct QuarantineFleet {
    variant: QuarantineVariant,
    pools: Vec<CrashPool>,
    sent: Vec<u64>,
    pub(super) upstreams: Vec<FleetUpstream>,
}

impl QuarantineFleet {
    pub(super) fn new(experiment: &QuarantineExperiment, variant: QuarantineVariant) -> Self {
        let router = |index| CrashPool::new(HostName::new(&format!("router-{index}")));
        let upstream = |index| FleetUpstream {
            host: HostName::new(&format!("engine-{index:02}")),
            up_from: 0,
            running: Vec::new(),
        };
        Self {
            variant,
            pools: (0..experiment.routers).map(router).collect(),
            sent: vec![0; experiment.routers],
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
            .filter(|upstream| upstream.up_from <= now)
            .map(|upstream| upstream.host.clone())
            .collect();
        self.pools[router].place(fingerprint, &live, UnixMillis(now))
    }

    /// The live upstream with the fewest requests, rather not one of `avoid`.
    pub(super) fn least_loaded(&self, avoid: &[HostName], now: u64) -> Option<usize> {
        let live = (0..self.upstreams.len()).filter(|u| self.upstreams[*u].up_from <= now);
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

    /// Sends each router's news to its peers, which have them at once.
    pub(super) fn exchange(&mut self) {
        if self.variant != QuarantineVariant::Pooled {
            return;
        }
        for from in 0..self.pools.len() {
            let delta = self.pools[from].delta_since(self.sent[from]);
            self.sent[from] = self.pools[from].revision();
            for to in (0..self.pools.len()).filter(|to| *to != from) {
                self.pools[to].merge(&delta);
            }
        }
    }
}

/// Fingerprint of the request with this number.
pub(super) fn fingerprint(number: u64) -> RequestFingerprint {
    let workspace = WorkspaceName::new("workspace");
    RequestFingerprint::of(&workspace, "model", &number.to_be_bytes())
}
