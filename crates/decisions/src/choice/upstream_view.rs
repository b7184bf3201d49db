//! What a router knows of one upstream when it chooses.

use crate::names::{HostName, ZoneName};

/// One candidate.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamView<'a> {
    /// Name of the upstream.
    pub name: &'a HostName,
    /// Availability zone of the upstream.
    pub zone: &'a ZoneName,
    /// Whether it may get new work.
    pub state: UpstreamState,
    /// How loaded it is.
    pub load: UpstreamLoad,
}

closed_set! {
    /// Whether an upstream may get new work.
    #[derive(Default)]
    pub enum UpstreamState {
        /// In service.
        #[default]
        Live,
        /// Leaving: gets no new work.
        Leaving,
        /// Suspected to be dead, or kept apart for a suspect request.
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
    /// Requests that the other routers have in flight there, as they last said; 0 when unknown.
    pub peers_in_flight: u32,
    /// Requests that the other routers had in flight there when the report was taken.
    pub peers_at_report: u32,
    /// Known requests in flight by their rank against the request to be placed.
    pub mix: RankMix,
    /// The last report; absent when none arrived yet.
    pub report: Option<ReportedLoad>,
    /// Step duration that this router observed since, in milliseconds.
    pub observed_step_ms: Option<f64>,
}

/// Requests that the routers know to be in flight on one upstream, compared by rank.
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
    /// Part of the requests that are of lower rank, from 0 to 1.
    pub fn lower_part(&self) -> f64 {
        self.part(self.lower)
    }

    /// Part of the requests that are of higher rank, from 0 to 1.
    pub fn higher_part(&self) -> f64 {
        self.part(self.higher)
    }

    fn part(&self, count: u32) -> f64 {
        let total = self.lower + self.same + self.higher;
        f64::from(count) / f64::from(total.max(1))
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

/// The part of a load report that decisions use.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ReportedLoad {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests waiting for a place in the batch.
    pub queued: u32,
    /// Places of the batch.
    pub batch_limit: u32,
    /// Places of the queue.
    pub queue_limit: u32,
    /// Duration of an engine step, in milliseconds.
    pub step_ms: f64,
}

/// Step duration that is assumed before the first report, in milliseconds.
const ASSUMED_STEP_MS: f64 = 10.0;
/// Places of a batch that are assumed before the first report.
const ASSUMED_BATCH: u32 = 8;

impl UpstreamLoad {
    /// Requests on the upstream now: unknown ones of the report, and the routers' present ones.
    pub fn corrected(&self) -> u32 {
        let known = self.own_at_report + self.peers_at_report;
        self.reported().saturating_sub(known) + self.own_in_flight + self.peers_in_flight
    }

    /// Requests on the upstream as it reported them, without any correction.
    pub fn reported(&self) -> u32 {
        self.report.map_or(0, |r| r.running + r.queued)
    }

    /// Places of the batch.
    pub fn batch_limit(&self) -> u32 {
        self.report.map_or(ASSUMED_BATCH, |r| r.batch_limit.max(1))
    }

    /// Duration of an engine step in milliseconds: observed, else reported, else assumed.
    pub fn step_ms(&self) -> f64 {
        let reported = self.report.map(|r| r.step_ms);
        let step = self.observed_step_ms.or(reported);
        step.filter(|ms| *ms > 0.0).unwrap_or(ASSUMED_STEP_MS)
    }

    /// Requests that wait for a place in the batch now and go before the one to be placed.
    pub fn waiting_ahead(&self) -> f64 {
        let ahead = f64::from(self.corrected()) * (1.0 - self.mix.lower_part());
        (ahead - f64::from(self.batch_limit())).max(0.0)
    }

    /// Part of the batch that work of higher rank takes, and will go on taking, from 0 to 1.
    pub fn higher_part(&self) -> f64 {
        let higher = f64::from(self.corrected()) * self.mix.higher_part();
        (higher / f64::from(self.batch_limit())).min(1.0)
    }

    /// Cost of one place in the order of a batch.
    pub fn place_cost(&self) -> f64 {
        self.step_ms() / f64::from(self.batch_limit())
    }

    /// Cost of the request to be placed: its place in the order, in batches, times the step
    /// duration. What runs already comes before it, whatever its rank.
    pub fn cost(&self) -> f64 {
        let places = f64::from(self.batch_limit());
        let running = f64::from(self.corrected()).min(places);
        let place = running + self.waiting_ahead() + 1.0;
        place / places * self.step_ms()
    }
}
