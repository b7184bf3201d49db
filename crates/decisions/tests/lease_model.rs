//! Property test of the freshness lease against a model of a fleet with a log, cut links, outages,
//! frozen processes and restarts.
//!
//! Guards against a router that holds the lease without a record that some router reported in force.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ferry_decisions::lease::{
    FreshnessLease, LeaseOwner, LogObservation, PeerStatement, PropagationStage, PropagationTracker,
};
use ferry_decisions::names::{HostName, Incarnation};
use ferry_decisions::time::MonotonicTime;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const FRESHNESS: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(100);
/// Steps between two heartbeats of a router.
const HEARTBEAT_STEPS: u64 = 4;

/// Event in a scenario; `Run` simulates a number of steps.
#[derive(Debug, Clone)]
enum Event {
    Run(u8),
    Append,
    LogDown,
    LogUp,
    CutLog(usize),
    CutLink(usize, usize),
    Partition(usize),
    Heal,
    Freeze(usize),
    Thaw,
    Restart(usize),
}

/// Deliberate fault in the mechanism, by which the tests show that the model finds such faults.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Flaw {
    None,
    AnswerDatedAtArrival,
    ReadDatedAtArrival,
    RestartedCountsAtOnce,
    InForceOnceAccepted,
}

#[derive(Debug, Clone)]
enum Message {
    Query,
    Answer(PeerStatement),
    Read,
    Tail(u64),
}

/// A message in transit; `generation` and `began` are those of the router that sent the query or
/// read.
#[derive(Debug, Clone)]
struct Transit {
    due: u64,
    from: usize,
    to: usize,
    generation: u64,
    began: MonotonicTime,
    message: Message,
}

struct Router {
    host: HostName,
    clock_offset: i64,
    generation: u64,
    incarnation: Incarnation,
    frozen: bool,
    lease: FreshnessLease,
    /// Offset of the record that the router needs next.
    own: u64,
    last_read: Option<(MonotonicTime, u64)>,
    trackers: BTreeMap<u64, PropagationTracker>,
    generations: BTreeMap<HostName, u64>,
}

struct Fleet {
    step: u64,
    tail: u64,
    log_up: bool,
    /// Routers that cannot reach the log.
    log_cuts: BTreeSet<usize>,
    /// Pairs of routers whose link is cut, lower index first.
    cuts: BTreeSet<(usize, usize)>,
    routers: Vec<Router>,
    transits: Vec<Transit>,
    generations: BTreeMap<Incarnation, u64>,
    /// Offset below which all records were reported in force.
    in_force: u64,
    reports: usize,
    majority_grants: usize,
    rng: StdRng,
    flaw: Flaw,
}

impl Router {
    fn new(
        host: HostName,
        generation: u64,
        now: MonotonicTime,
        clock_offset: i64,
        id: u128,
    ) -> Self {
        let owner = LeaseOwner {
            host: host.clone(),
            started_at: now,
            freshness: FRESHNESS,
        };
        Self {
            host,
            clock_offset,
            generation,
            incarnation: Incarnation(uuid::Uuid::from_u128(id)),
            frozen: false,
            lease: FreshnessLease::new(owner),
            own: 0,
            last_read: None,
            trackers: BTreeMap::new(),
            generations: BTreeMap::new(),
        }
    }

    fn now(&self, step: u64) -> MonotonicTime {
        MonotonicTime(self.clock_offset + (STEP * step as u32).as_micros() as i64)
    }

    fn statement(
        &self,
        now: MonotonicTime,
        requested_at: MonotonicTime,
        flaw: Flaw,
    ) -> PeerStatement {
        PeerStatement {
            host: self.host.clone(),
            incarnation: self.incarnation,
            requested_at,
            next_offset: self.own,
            log: self.last_read.map(|(began, tail)| LogObservation {
                age: now.since(began),
                tail,
            }),
            recovered: flaw == Flaw::RestartedCountsAtOnce || self.lease.is_recovered(),
        }
    }

    fn fold_up_to(&mut self, next: u64) {
        for offset in self.own..next {
            let tracker = PropagationTracker::new(offset, FRESHNESS);
            self.trackers.insert(offset, tracker);
        }
        self.own = self.own.max(next);
    }
}

impl Fleet {
    fn new(size: usize, seed: u64, flaw: Flaw) -> Self {
        let mut fleet = Self {
            step: 0,
            tail: 1,
            log_up: true,
            log_cuts: BTreeSet::new(),
            cuts: BTreeSet::new(),
            routers: Vec::new(),
            transits: Vec::new(),
            generations: BTreeMap::new(),
            in_force: 0,
            reports: 0,
            majority_grants: 0,
            rng: StdRng::seed_from_u64(seed),
            flaw,
        };
        for index in 0..size {
            let router = fleet.make_router(size, index, 0);
            fleet.routers.push(router);
        }
        fleet
    }

    fn make_router(&mut self, size: usize, index: usize, generation: u64) -> Router {
        let host = HostName::new(&format!("r{index}"));
        let offset = self.rng.random_range(-50_000_000..50_000_000);
        let id = self.rng.random();
        let now = MonotonicTime(offset + (STEP * self.step as u32).as_micros() as i64);
        let mut router = Router::new(host, generation, now, offset, id);
        router.lease.relist(&hosts(size));
        self.generations.insert(router.incarnation, generation);
        router
    }

    fn apply_event(&mut self, event: &Event) -> Result<(), String> {
        let size = self.routers.len();
        match event {
            Event::Run(steps) => {
                for _ in 0..*steps {
                    self.run_step()?;
                }
            }
            Event::Append => {
                if self.log_up {
                    self.tail += 1;
                }
            }
            Event::LogDown => self.log_up = false,
            Event::LogUp => self.log_up = true,
            Event::CutLog(index) => {
                self.log_cuts.insert(index % size);
            }
            Event::CutLink(a, b) => {
                self.cut(a % size, b % size);
            }
            Event::Partition(count) => {
                let border = count % size;
                for a in 0..border {
                    for b in border..size {
                        self.cut(a, b);
                    }
                }
            }
            Event::Heal => {
                self.cuts.clear();
                self.log_cuts.clear();
            }
            Event::Freeze(index) => self.routers[index % size].frozen = true,
            Event::Thaw => {
                for router in &mut self.routers {
                    router.frozen = false;
                }
            }
            Event::Restart(index) => {
                let index = index % size;
                let generation = self.routers[index].generation + 1;
                self.routers[index] = self.make_router(size, index, generation);
            }
        }
        Ok(())
    }

    fn cut(&mut self, a: usize, b: usize) {
        self.cuts.insert((a.min(b), a.max(b)));
    }

    fn run_step(&mut self) -> Result<(), String> {
        self.step += 1;
        self.deliver();
        for index in 0..self.routers.len() {
            if self.routers[index].frozen {
                continue;
            }
            self.report(index);
            self.check_dispatch(index)?;
            if (self.step + index as u64).is_multiple_of(HEARTBEAT_STEPS) {
                self.query_all(index);
            }
        }
        Ok(())
    }

    fn query_all(&mut self, index: usize) {
        let began = self.routers[index].now(self.step);
        let generation = self.routers[index].generation;
        for to in 0..self.routers.len() {
            let message = if to == index {
                Message::Read
            } else {
                Message::Query
            };
            let transit = Transit {
                due: 0,
                from: index,
                to,
                generation,
                began,
                message,
            };
            self.send(transit);
        }
    }

    fn send(&mut self, mut transit: Transit) {
        let delay = if self.rng.random_ratio(1, 12) {
            self.rng.random_range(0..60)
        } else {
            self.rng.random_range(0..3)
        };
        transit.due = self.step + delay;
        self.transits.push(transit);
    }

    fn deliver(&mut self) {
        let step = self.step;
        let is_due = |transit: &Transit, routers: &[Router]| {
            transit.due <= step && !routers[transit.to].frozen
        };
        let (due, waiting) = std::mem::take(&mut self.transits)
            .into_iter()
            .partition(|transit| is_due(transit, &self.routers));
        self.transits = waiting;
        for transit in due {
            self.receive(&transit);
        }
    }

    fn receive(&mut self, transit: &Transit) {
        let (from, to) = (transit.from, transit.to);
        let (low, high) = (from.min(to), from.max(to));
        let over_link = matches!(transit.message, Message::Query | Message::Answer(_));
        if over_link && self.cuts.contains(&(low, high)) {
            return;
        }
        let now = self.routers[to].now(self.step);
        match transit.message.clone() {
            Message::Query => {
                let statement = self.routers[to].statement(now, transit.began, self.flaw);
                self.send(Transit {
                    from: to,
                    to: from,
                    message: Message::Answer(statement),
                    ..transit.clone()
                });
            }
            Message::Read => {
                if self.log_up && !self.log_cuts.contains(&to) {
                    self.send(Transit {
                        message: Message::Tail(self.tail),
                        ..transit.clone()
                    });
                }
            }
            Message::Answer(statement) if self.routers[to].generation == transit.generation => {
                self.apply_answer(to, now, statement);
            }
            Message::Tail(tail) if self.routers[to].generation == transit.generation => {
                self.apply_log_read(to, now, transit.began, tail);
            }
            Message::Answer(_) | Message::Tail(_) => {}
        }
    }

    fn apply_answer(&mut self, to: usize, now: MonotonicTime, mut statement: PeerStatement) {
        let generation = self.generations[&statement.incarnation];
        let is_pushed = self.rng.random_ratio(1, 3);
        let router = &mut self.routers[to];
        let known = router
            .generations
            .entry(statement.host.clone())
            .or_insert(generation);
        if *known > generation {
            return;
        }
        *known = generation;
        if self.flaw == Flaw::AnswerDatedAtArrival {
            statement.requested_at = now;
        }
        for tracker in router.trackers.values_mut() {
            tracker.observe(now, &statement);
        }
        if is_pushed {
            router.fold_up_to(statement.next_offset);
        }
        router.lease.record_peer_statement(now, statement);
        router.lease.update(now, router.own);
    }

    fn apply_log_read(&mut self, to: usize, now: MonotonicTime, began: MonotonicTime, tail: u64) {
        let is_folded = self.rng.random_ratio(3, 4);
        let router = &mut self.routers[to];
        let began = if self.flaw == Flaw::ReadDatedAtArrival {
            now
        } else {
            began
        };
        if is_folded {
            router.fold_up_to(tail);
        }
        if router.last_read.is_none_or(|(known, _)| known < began) {
            router.last_read = Some((began, tail));
        }
        router.lease.record_log_read(began, tail);
        router.lease.update(now, router.own);
    }

    /// Records which records the router would report as in force to an operator.
    fn report(&mut self, index: usize) {
        let listed = hosts(self.routers.len());
        let step = self.step;
        let flaw = self.flaw;
        let router = &mut self.routers[index];
        let now = router.now(step);
        let own = router.statement(now, now, flaw);
        for (offset, tracker) in &mut router.trackers {
            tracker.observe(now, &own);
            let status = tracker.status(now, &listed, &listed);
            let reported = match flaw {
                Flaw::InForceOnceAccepted => status.stage != PropagationStage::Published,
                _ => status.stage == PropagationStage::InForce,
            };
            if reported && *offset >= self.in_force {
                self.in_force = offset + 1;
                self.reports += 1;
            }
        }
    }

    fn check_dispatch(&mut self, index: usize) -> Result<(), String> {
        let router = &self.routers[index];
        let now = router.now(self.step);
        let Ok(grant) = router.lease.check(now, router.own) else {
            return Ok(());
        };
        if matches!(
            grant.basis,
            ferry_decisions::lease::LeaseBasis::Majority { .. }
        ) {
            self.majority_grants += 1;
        }
        if router.own < self.in_force {
            return Err(format!(
                "step {}: {} holds a lease by {:?} with records below {} while {} are in force",
                self.step, router.host, grant.basis, router.own, self.in_force
            ));
        }
        Ok(())
    }
}

fn hosts(size: usize) -> Vec<HostName> {
    (0..size)
        .map(|index| HostName::new(&format!("r{index}")))
        .collect()
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (1_u8..25).prop_map(Event::Run),
        4 => Just(Event::Append),
        2 => Just(Event::LogDown),
        1 => Just(Event::LogUp),
        2 => any::<usize>().prop_map(Event::CutLog),
        2 => any::<(usize, usize)>().prop_map(|(a, b)| Event::CutLink(a, b)),
        2 => any::<usize>().prop_map(Event::Partition),
        2 => Just(Event::Heal),
        2 => any::<usize>().prop_map(Event::Freeze),
        2 => Just(Event::Thaw),
        2 => any::<usize>().prop_map(Event::Restart),
    ]
}

fn scenario() -> impl Strategy<Value = (usize, u64, Vec<Event>)> {
    (
        1_usize..6,
        any::<u64>(),
        proptest::collection::vec(event(), 1..80),
    )
}

fn run_scenario(size: usize, seed: u64, events: &[Event], flaw: Flaw) -> Result<Fleet, String> {
    let mut fleet = Fleet::new(size, seed, flaw);
    for event in events {
        fleet.apply_event(event)?;
    }
    fleet.apply_event(&Event::Run(60))?;
    Ok(fleet)
}

proptest! {
    #[test]
    fn no_lease_without_a_record_in_force((size, seed, events) in scenario()) {
        if let Err(violation) = run_scenario(size, seed, &events, Flaw::None) {
            prop_assert!(false, "{}", violation);
        }
    }
}

/// Index of the first of `scenarios` generated scenarios in which the flaw violates the property.
fn first_violation(flaw: Flaw, scenarios: usize) -> Option<usize> {
    let mut runner = TestRunner::deterministic();
    (0..scenarios).find(|_| {
        let (size, seed, events) = scenario().new_tree(&mut runner).unwrap().current();
        run_scenario(size, seed, &events, flaw).is_err()
    })
}

#[test]
fn the_model_finds_each_flaw() {
    for flaw in [
        Flaw::AnswerDatedAtArrival,
        Flaw::ReadDatedAtArrival,
        Flaw::RestartedCountsAtOnce,
        Flaw::InForceOnceAccepted,
    ] {
        let found = first_violation(flaw, 5_000);
        println!("{flaw:?}: first violation in scenario {found:?}");
        assert!(found.is_some(), "the model did not find {flaw:?}");
    }
}

#[test]
fn the_model_reaches_reports_and_majority_leases() {
    let mut runner = TestRunner::deterministic();
    let (mut reports, mut majority_grants) = (0, 0);
    for _ in 0..100 {
        let (size, seed, events) = scenario().new_tree(&mut runner).unwrap().current();
        let fleet = run_scenario(size, seed, &events, Flaw::None).unwrap();
        reports += fleet.reports;
        majority_grants += fleet.majority_grants;
    }
    println!("{reports} reports of records in force, {majority_grants} majority leases");
    assert!(reports > 100);
    assert!(majority_grants > 100);
}
