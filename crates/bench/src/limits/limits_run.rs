//! One run: one way to keep the limit, one seed.

use std::collections::VecDeque;
use std::time::Duration;

use ferry_decisions::limits::{LocalLimit, OfferedCount, PooledLimit};
use ferry_decisions::names::Incarnation;
use uuid::Uuid;

use super::achieved_limit::AchievedLimit;
use super::offer_trace::{self, OfferEntry};
use super::{FleetEvent, LimitArm, LimitsExperiment};

/// Requests offered and admitted in each second of a run.
#[derive(Debug, Clone, Default)]
pub(super) struct SecondCounts {
    pub(super) offered: Vec<u64>,
    pub(super) admitted: Vec<u64>,
}

/// The limit as one router keeps it.
#[derive(Debug)]
enum KeptLimit {
    Equal(LocalLimit),
    Achieved(AchievedLimit),
    Offered(PooledLimit),
}

impl KeptLimit {
    fn new(experiment: &LimitsExperiment, arm: LimitArm, routers: usize, now: Duration) -> Self {
        let limit = experiment.limit;
        match arm {
            LimitArm::CentralBucket => {
                Self::Equal(LocalLimit::share_of(limit.rate, limit.burst, 1, now))
            }
            LimitArm::EqualParts => {
                let parts = routers as u32;
                Self::Equal(LocalLimit::share_of(limit.rate, limit.burst, parts, now))
            }
            LimitArm::PooledAdmitted => Self::Achieved(AchievedLimit::new(limit.rate)),
            LimitArm::PooledOffered => Self::Offered(PooledLimit::new(limit, now)),
        }
    }

    fn offer(&mut self, now: Duration) -> bool {
        match self {
            Self::Equal(limit) => limit.offer(now),
            Self::Achieved(limit) => limit.offer(now),
            Self::Offered(limit) => limit.offer(now).is_ok(),
        }
    }

    fn own_total(&self) -> u64 {
        match self {
            Self::Equal(_) => 0,
            Self::Achieved(limit) => limit.own_total(),
            Self::Offered(limit) => limit.demand().own_total(),
        }
    }

    fn merge(&mut self, now: Duration, count: OfferedCount) {
        match self {
            Self::Equal(_) => {}
            Self::Achieved(limit) => limit.merge(now, count),
            Self::Offered(limit) => limit.merge(now, count),
        }
    }
}

/// One router of the run.
#[derive(Debug)]
struct LimitRouter {
    id: Incarnation,
    weight: f64,
    limit: KeptLimit,
}

struct LimitsRun<'a> {
    experiment: &'a LimitsExperiment,
    arm: LimitArm,
    routers: Vec<LimitRouter>,
    /// The one bucket of all requests, if the arm has it.
    central: Option<KeptLimit>,
    started: u128,
    /// Counts on their way, with the time at which they come.
    counts: VecDeque<(Duration, OfferedCount)>,
    next_exchange: Duration,
    /// Changes of the fleet that are still to come.
    changes: VecDeque<(Duration, FleetEvent)>,
    /// Times at which the host list shows a change.
    listings: VecDeque<Duration>,
}

/// Plays `arm` under `seed`.
pub(super) fn play(experiment: &LimitsExperiment, arm: LimitArm, seed: u64) -> SecondCounts {
    let seconds = experiment.seconds() as usize;
    let mut counts = SecondCounts {
        offered: vec![0; seconds],
        admitted: vec![0; seconds],
    };
    let mut run = LimitsRun::new(experiment, arm);
    for entry in offer_trace::generate(experiment, seed) {
        run.advance(entry.at);
        let second = entry.at.as_secs() as usize;
        counts.offered[second] += 1;
        counts.admitted[second] += u64::from(run.offer(&entry));
    }
    counts
}

impl<'a> LimitsRun<'a> {
    fn new(experiment: &'a LimitsExperiment, arm: LimitArm) -> Self {
        let change = |c: &super::FleetChange| (Duration::from_secs_f64(c.at_s), c.event);
        let mut run = Self {
            experiment,
            arm,
            routers: Vec::new(),
            central: (arm == LimitArm::CentralBucket)
                .then(|| KeptLimit::new(experiment, arm, 1, Duration::ZERO)),
            started: 0,
            counts: VecDeque::new(),
            next_exchange: Duration::ZERO,
            changes: experiment.changes.iter().map(change).collect(),
            listings: VecDeque::new(),
        };
        for index in 0..experiment.routers {
            let weight = if index == 0 { experiment.skew } else { 1.0 };
            run.start_router(Duration::ZERO, weight, experiment.routers);
        }
        run
    }

    fn start_router(&mut self, now: Duration, weight: f64, listed: usize) {
        self.started += 1;
        self.routers.push(LimitRouter {
            id: Incarnation(Uuid::from_u128(self.started)),
            weight,
            limit: KeptLimit::new(self.experiment, self.arm, listed, now),
        });
    }

    fn advance(&mut self, now: Duration) {
        while let Some((at, event)) = self.changes.front().copied().filter(|c| c.0 <= now) {
            self.changes.pop_front();
            self.change(at, event);
        }
        while let Some(at) = self.listings.front().copied().filter(|at| *at <= now) {
            self.listings.pop_front();
            self.relist(at);
        }
        while self.next_exchange <= now {
            let at = self.next_exchange;
            self.deliver(at);
            self.send_counts(at);
            self.next_exchange += Duration::from_millis(self.experiment.exchange_ms);
        }
        self.deliver(now);
    }

    fn change(&mut self, at: Duration, event: FleetEvent) {
        match event {
            FleetEvent::Join => self.start_router(at, 1.0, self.routers.len()),
            FleetEvent::DieFirst => {
                self.routers.remove(0);
            }
        }
        let lag = Duration::from_millis(self.experiment.list_lag_ms);
        self.listings.push_back(at + lag);
    }

    /// Routers with equal parts take over the number of routers that the host list shows.
    fn relist(&mut self, at: Duration) {
        let listed = self.routers.len();
        if self.arm == LimitArm::EqualParts {
            for router in &mut self.routers {
                router.limit = KeptLimit::new(self.experiment, self.arm, listed, at);
            }
        }
    }

    fn send_counts(&mut self, at: Duration) {
        let due = at + Duration::from_millis(self.experiment.delay_ms);
        for router in &self.routers {
            let count = OfferedCount {
                router: router.id,
                total: router.limit.own_total(),
            };
            self.counts.push_back((due, count));
        }
    }

    fn deliver(&mut self, now: Duration) {
        while let Some((due, count)) = self.counts.front().copied().filter(|c| c.0 <= now) {
            self.counts.pop_front();
            for router in self.routers.iter_mut().filter(|r| r.id != count.router) {
                router.limit.merge(due, count);
            }
        }
    }

    fn offer(&mut self, entry: &OfferEntry) -> bool {
        if let Some(central) = &mut self.central {
            return central.offer(entry.at);
        }
        let total: f64 = self.routers.iter().map(|r| r.weight).sum();
        let mut rest = entry.point * total;
        let found = self.routers.iter().position(|router| {
            rest -= router.weight;
            rest < 0.0
        });
        let index = found.unwrap_or(self.routers.len() - 1);
        self.routers[index].limit.offer(entry.at)
    }
}
