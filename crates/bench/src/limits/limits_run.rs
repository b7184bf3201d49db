//! Simulates one run: one variant and one seed.

use std::collections::VecDeque;
use std::time::Duration;

use ferry_decisions::limits::{LocalLimit, OfferedCount, PooledLimit};
use ferry_decisions::names::Incarnation;
use uuid::Uuid;

use super::admitted_limit::AdmittedLimit;
use super::offer_trace::{self, OfferEntry};
use super::{FleetEvent, LimitVariant, LimitsExperiment};

/// Requests offered and admitted in each second of a run.
#[derive(Debug, Clone, Default)]
pub(super) struct SecondCounts {
    pub(super) offered: Vec<u64>,
    pub(super) admitted: Vec<u64>,
}

/// State of the limit on one router.
#[derive(Debug)]
enum RouterLimit {
    Local(LocalLimit),
    Admitted(AdmittedLimit),
    Offered(PooledLimit),
}

impl RouterLimit {
    fn new(
        experiment: &LimitsExperiment,
        variant: LimitVariant,
        routers: usize,
        now: Duration,
    ) -> Self {
        let limit = experiment.limit;
        match variant {
            LimitVariant::CentralBucket => {
                Self::Local(LocalLimit::share_of(limit.rate, limit.burst, 1, now))
            }
            LimitVariant::EqualParts => {
                let parts = routers as u32;
                Self::Local(LocalLimit::share_of(limit.rate, limit.burst, parts, now))
            }
            LimitVariant::PooledAdmitted => Self::Admitted(AdmittedLimit::new(limit.rate)),
            LimitVariant::PooledOffered => Self::Offered(PooledLimit::new(limit, now)),
        }
    }

    fn offer(&mut self, now: Duration) -> bool {
        match self {
            Self::Local(limit) => limit.offer(now),
            Self::Admitted(limit) => limit.offer(now),
            Self::Offered(limit) => limit.offer(now).is_ok(),
        }
    }

    fn own_total(&self) -> u64 {
        match self {
            Self::Local(_) => 0,
            Self::Admitted(limit) => limit.own_total(),
            Self::Offered(limit) => limit.demand().own_total(),
        }
    }

    fn merge(&mut self, now: Duration, count: OfferedCount) {
        match self {
            Self::Local(_) => {}
            Self::Admitted(limit) => limit.merge(now, count),
            Self::Offered(limit) => limit.merge(now, count),
        }
    }
}

/// One simulated router.
#[derive(Debug)]
struct LimitRouter {
    id: Incarnation,
    /// Traffic relative to that of the other routers.
    weight: f64,
    limit: RouterLimit,
}

struct LimitsRun<'a> {
    experiment: &'a LimitsExperiment,
    variant: LimitVariant,
    routers: Vec<LimitRouter>,
    /// Token bucket of all requests, for [`LimitVariant::CentralBucket`].
    central: Option<RouterLimit>,
    /// Number of routers started so far, from which their ids are made.
    started_routers: u128,
    /// Counts that are not delivered yet, with their delivery times.
    counts: VecDeque<(Duration, OfferedCount)>,
    next_exchange: Duration,
    /// Routers that are still to join or crash, with the times.
    changes: VecDeque<(Duration, FleetEvent)>,
    /// Times at which the host list shows a change that has happened.
    host_list_updates: VecDeque<Duration>,
}

/// Simulates `variant` under `seed` and returns the counts of each second.
pub(super) fn simulate(
    experiment: &LimitsExperiment,
    variant: LimitVariant,
    seed: u64,
) -> SecondCounts {
    let seconds = experiment.seconds() as usize;
    let mut counts = SecondCounts {
        offered: vec![0; seconds],
        admitted: vec![0; seconds],
    };
    let mut run = LimitsRun::new(experiment, variant);
    for entry in offer_trace::generate(experiment, seed) {
        run.advance(entry.at);
        let second = entry.at.as_secs() as usize;
        counts.offered[second] += 1;
        counts.admitted[second] += u64::from(run.offer(&entry));
    }
    counts
}

impl<'a> LimitsRun<'a> {
    fn new(experiment: &'a LimitsExperiment, variant: LimitVariant) -> Self {
        let change = |c: &super::FleetChange| (Duration::from_secs_f64(c.at_s), c.event);
        let mut run = Self {
            experiment,
            variant,
            routers: Vec::new(),
            central: (variant == LimitVariant::CentralBucket)
                .then(|| RouterLimit::new(experiment, variant, 1, Duration::ZERO)),
            started_routers: 0,
            counts: VecDeque::new(),
            next_exchange: Duration::ZERO,
            changes: experiment.changes.iter().map(change).collect(),
            host_list_updates: VecDeque::new(),
        };
        for index in 0..experiment.routers {
            let weight = if index == 0 { experiment.skew } else { 1.0 };
            run.start_router(Duration::ZERO, weight, experiment.routers);
        }
        run
    }

    fn start_router(&mut self, now: Duration, weight: f64, listed: usize) {
        self.started_routers += 1;
        self.routers.push(LimitRouter {
            id: Incarnation(Uuid::from_u128(self.started_routers)),
            weight,
            limit: RouterLimit::new(self.experiment, self.variant, listed, now),
        });
    }

    fn advance(&mut self, now: Duration) {
        while let Some((at, event)) = self.changes.front().copied().filter(|c| c.0 <= now) {
            self.changes.pop_front();
            self.change(at, event);
        }
        while let Some(at) = self
            .host_list_updates
            .front()
            .copied()
            .filter(|at| *at <= now)
        {
            self.host_list_updates.pop_front();
            self.apply_host_list(at);
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
            FleetEvent::CrashFirst => {
                self.routers.remove(0);
            }
        }
        let lag = Duration::from_millis(self.experiment.list_lag_ms);
        self.host_list_updates.push_back(at + lag);
    }

    /// Applies a change of the host list: routers with equal shares use the new number of routers.
    fn apply_host_list(&mut self, at: Duration) {
        let listed = self.routers.len();
        if self.variant == LimitVariant::EqualParts {
            for router in &mut self.routers {
                router.limit = RouterLimit::new(self.experiment, self.variant, listed, at);
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
