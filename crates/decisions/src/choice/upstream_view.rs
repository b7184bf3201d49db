//! State and load of an upstream as a router knows them when it selects one.

use crate::names::{HostName, ZoneName};

/// One candidate of a selection.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamView<'a> {
    /// Name of the upstream.
    pub name: &'a HostName,
    /// Availability zone of the upstream.
    pub zone: &'a ZoneName,
    /// Whether it may receive new requests.
    pub state: UpstreamState,
    /// Its load.
    pub load: UpstreamLoad,
}

closed_set! {
    /// Whether an upstream may receive new requests.
    #[derive(Default)]
    pub enum UpstreamState {
        /// In service.
        #[default]
        Live,
        /// Shutting down: receives no new requests.
        Leaving,
        /// Possibly dead, rejecting requests at the moment, or isolated because of a request suspected of crashing
        /// upstreams.
        Suspect,
    }
}

/// Load of an upstream as far as a router knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UpstreamLoad {
    /// Requests that this router has in flight there now.
    pub own_in_flight: u32,
    /// Requests that this router had in flight there when the report was taken.
    pub own_at_report: u32,
    /// Requests that the other routers have in flight there by their last reports; 0 when unknown.
    pub peers_in_flight: u32,
    /// Requests that the other routers had in flight there when the report was taken.
    pub peers_at_report: u32,
    /// Known requests in flight, by rank relative to the request to be placed.
    pub mix: RankMix,
    /// The last load report; absent until the first one arrives.
    pub report: Option<ReportedLoad>,
    /// Step duration that this router observed since the last report, in milliseconds; absent when
    /// it observed none.
    pub observed_step_ms: Option<f64>,
}

/// Number of requests in flight on one upstream by rank relative to a given rank.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RankMix {
    /// Requests of lower rank.
    pub lower: u32,
    /// Requests of the same rank.
    pub same: u32,
    /// Requests of higher rank.
    pub higher: u32,
}

impl RankMix {
    /// Fraction of the requests that are of lower rank, from 0 to 1.
    pub fn lower_rank_share(&self) -> f64 {
        self.share(self.lower)
    }

    /// Fraction of the requests that are of higher rank, from 0 to 1.
    pub fn higher_rank_share(&self) -> f64 {
        self.share(self.higher)
    }

    fn share(&self, count: u32) -> f64 {
        let total = f64::from(self.lower) + f64::from(self.same) + f64::from(self.higher);
        f64::from(count) / total.max(1.0)
    }
}

impl std::ops::Add for RankMix {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            lower: self.lower + other.lower,
            same: self.same + other.same,
            higher: self.higher + other.higher,
        }
    }
}

/// Values of a load report that decisions use.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ReportedLoad {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests waiting for a slot in the batch.
    pub queued: u32,
    /// Capacity of the batch, in requests.
    pub batch_limit: u32,
    /// Capacity of the queue, in requests.
    pub queue_limit: u32,
    /// Duration of an engine step, in milliseconds.
    pub step_ms: f64,
}

/// Step duration assumed before the first report, in milliseconds.
const ASSUMED_STEP_MS: f64 = 10.0;
/// Batch capacity assumed before the first report, in requests.
const ASSUMED_BATCH_LIMIT: u32 = 8;

impl UpstreamLoad {
    /// Estimated number of requests on the upstream now: reported requests that no router knew of
    /// at the time of the report, plus those that the routers have in flight now.
    pub fn corrected(&self) -> u32 {
        let known = self.own_at_report.saturating_add(self.peers_at_report);
        let unknown = self.reported().saturating_sub(known);
        unknown
            .saturating_add(self.own_in_flight)
            .saturating_add(self.peers_in_flight)
    }

    /// Number of requests in the last report, uncorrected; 0 before the first report.
    pub fn reported(&self) -> u32 {
        self.report
            .map_or(0, |r| r.running.saturating_add(r.queued))
    }

    /// Capacity of the batch, in requests; at least 1.
    pub fn batch_limit(&self) -> u32 {
        self.report
            .map_or(ASSUMED_BATCH_LIMIT, |r| r.batch_limit.max(1))
    }

    /// Duration of an engine step in milliseconds: observed, else reported, else assumed.
    pub fn step_ms(&self) -> f64 {
        let reported = self.report.map(|r| r.step_ms);
        let step = self.observed_step_ms.or(reported);
        step.filter(|ms| *ms > 0.0).unwrap_or(ASSUMED_STEP_MS)
    }

    /// Requests that wait for a slot in the batch now and precede the request to be placed.
    pub fn waiting_ahead(&self) -> f64 {
        let ahead = f64::from(self.corrected()) * (1.0 - self.mix.lower_rank_share());
        (ahead - f64::from(self.batch_limit())).max(0.0)
    }

    /// Fraction of the batch that requests of higher rank occupy, from 0 to 1; assumed to continue.
    pub fn higher_rank_share(&self) -> f64 {
        let higher = f64::from(self.corrected()) * self.mix.higher_rank_share();
        (higher / f64::from(self.batch_limit())).min(1.0)
    }

    /// Cost of one additional request ahead in the queue, in milliseconds: step duration divided by
    /// the batch capacity.
    pub fn slot_cost(&self) -> f64 {
        self.step_ms() / f64::from(self.batch_limit())
    }

    /// Cost of the request to be placed, in milliseconds: its queue position, in batches, times the
    /// step duration. Running requests precede it whatever their rank.
    pub fn cost(&self) -> f64 {
        let slots = f64::from(self.batch_limit());
        let running = f64::from(self.corrected()).min(slots);
        let position = running + self.waiting_ahead() + 1.0;
        position / slots * self.step_ms()
    }
}
