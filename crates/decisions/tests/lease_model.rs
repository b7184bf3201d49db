//! A model of a fleet with a log, cuts, outages, freezes and restarts.
//!
//! It checks that no router that holds the lease lacks a record that some router reported in force.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ferry_decisions::lease::{
    FreshnessLease, LeaseOwner, LogSighting, PeerStatement, SpreadStage, SpreadTracker,
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
const HEARTBEAT_STEPS: u64 = 4;

/// What happens to the fleet between steps.
#[derive(Debug, Clone)]
enum Event {
    Run(u8),
    Append,
    LogDown,
    LogUp,
    CutLog(usize),
    CutLink(usize, usize),
    CutSide(usize),
    Heal,
    Freeze(usize),
    Thaw,
    Restart(usize),
}

/// A mechanism left out, to see that the model notices.
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
    Ask,
    Answer(PeerStatement),
    Read,
    Tail(u64),
}

/// A message on its way; `life` and `began` belong to the asking router.
#[derive(Debug, Clone)]
struct Transit {
    due: u64,
    from: usize,
    to: usize,
    life: u64,
    began: MonotonicTime,
    message: Message,
}

struct Router {
    host: HostName,
    clock_offset: i64,
    life: u64,
    incarnation: Incarnation,
    frozen: bool,
    lease: FreshnessLease,
    own: u64,
    last_read: Option<(MonotonicTime, u64)>,
    trackers: BTreeMap<u64, SpreadTracker>,
    lives: BTreeMap<HostName, u64>,
}

struct Fleet {
    step: u64,
    tail: u64,
    log_up: bool,
    log_cuts: BTreeSet<usize>,
    cuts: BTreeSet<(usize, usize)>,
    routers: Vec<Router>,
    transits: Vec<Transit>,
    lives: BTreeMap<Incarnation, u64>,
    /// Records below this offset were reported in force.
    in_force: u64,
    reports: usize,
    majority_grants: usize,
    rng: StdRng,
    flaw: Flaw,
}

impl Router {
    fn new(host: HostName, life: u64, now: MonotonicTime, clock_offset: i64, id: u128) -> Self {
        let owner = LeaseOwner {
            host: host.clone(),
            born: now,
            freshness: FRESHNESS,
        };
        Self {
            host,
            clock_offset,
            life,
            incarnation: Incarnation(uuid::Uuid::from_u128(id)),
            frozen: false,
            lease: FreshnessLease::new(owner),
            own: 0,
            last_read: None,
            trackers: BTreeMap::new(),
            lives: BTreeMap::new(),
        }
    }

    fn now(&self, step: u64) -> MonotonicTime {
        MonotonicTime(self.clock_offset + (STEP * step as u32).as_micros() as i64)
    }

    fn statement(&self, now: MonotonicTime, asked: MonotonicTime, flaw: Flaw) -> PeerStatement {
        PeerStatement {
            host: self.host.clone(),
            incarnation: self.incarnation,
            asked,
            next_offset: self.own,
            log: self.last_read.map(|(began, tail)| LogSighting {
                age: now.since(began),
                tail,
            }),
            recovered: flaw == Flaw::RestartedCountsAtOnce || self.lease.is_recovered(),
        }
    }

    fn fold(&mut self, next: u64) {
        for offset in self.own..next {
            let tracker = SpreadTracker::new(offset, FRESHNESS);
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
            lives: BTreeMap::new(),
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

    fn make_router(&mut self, size: usize, index: usize, life: u64) -> Router {
        let host = HostName::new(&format!("r{index}"));
        let offset = self.rng.random_range(-50_000_000..50_000_000);
        let id = self.rng.random();
        let now = MonotonicTime(offset + (STEP * self.step as u32).as_micros() as i64);
        let mut router = Router::new(host, life, now, offset, id);
        router.lease.relist(&hosts(size));
        self.lives.insert(router.incarnation, life);
        router
    }

    fn happen(&mut self, event: &Event) -> Result<(), String> {
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
            Event::CutSide(count) => {
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
                let life = self.routers[index].life + 1;
                self.routers[index] = self.make_router(size, index, life);
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
                self.ask_all(index);
            }
        }
        Ok(())
    }

    fn ask_all(&mut self, index: usize) {
        let began = self.routers[index].now(self.step);
        let life = self.routers[index].life;
        for to in 0..self.routers.len() {
            let message = if to == index {
                Message::Read
            } else {
                Message::Ask
            };
            let transit = Transit {
                due: 0,
                from: index,
                to,
                life,
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
        let over_link = matches!(transit.message, Message::Ask | Message::Answer(_));
        if over_link && self.cuts.contains(&(low, high)) {
            return;
        }
        let now = self.routers[to].now(self.step);
        match transit.message.clone() {
            Message::Ask => {
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
            Message::Answer(statement) if self.routers[to].life == transit.life => {
                self.take_answer(to, now, statement);
            }
            Message::Tail(tail) if self.routers[to].life == transit.life => {
                self.take_tail(to, now, transit.began, tail);
            }
            Message::Answer(_) | Message::Tail(_) => {}
        }
    }

    fn take_answer(&mut self, to: usize, now: MonotonicTime, mut statement: PeerStatement) {
        let life = self.lives[&statement.incarnation];
        let pushed = self.rng.random_ratio(1, 3);
        let router = &mut self.routers[to];
        let known = router.lives.entry(statement.host.clone()).or_insert(life);
        if *known > life {
            return;
        }
        *known = life;
        if self.flaw == Flaw::AnswerDatedAtArrival {
            statement.asked = now;
        }
        for tracker in router.trackers.values_mut() {
            tracker.observe(now, &statement);
        }
        if pushed {
            router.fold(statement.next_offset);
        }
        router.lease.peer_heard(now, statement);
        router.lease.settle(now, router.own);
    }

    fn take_tail(&mut self, to: usize, now: MonotonicTime, began: MonotonicTime, tail: u64) {
        let folded = self.rng.random_ratio(3, 4);
        let router = &mut self.routers[to];
        let began = if self.flaw == Flaw::ReadDatedAtArrival {
            now
        } else {
            began
        };
        if folded {
            router.fold(tail);
        }
        if router.last_read.is_none_or(|(known, _)| known < began) {
            router.last_read = Some((began, tail));
        }
        router.lease.log_read(began, tail);
        router.lease.settle(now, router.own);
    }

    /// Notes what the router would tell an operator.
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
                Flaw::InForceOnceAccepted => status.stage != SpreadStage::Published,
                _ => status.stage == SpreadStage::InForce,
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
        let Ok(grant) = router.lease.holds(now, router.own) else {
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
        2 => any::<usize>().prop_map(Event::CutSide),
        2 => Just(Event::Heal),
        2 => any::<usize>().prop_map(Event::Freeze),
        2 => Just(Event::Thaw),
        2 => any::<usize>().prop_map(Event::Restart),
    ]
}

fn story() -> impl Strategy<Value = (usize, u64, Vec<Event>)> {
    (
        1_usize..6,
        any::<u64>(),
        proptest::collection::vec(event(), 1..80),
    )
}

fn play(size: usize, seed: u64, events: &[Event], flaw: Flaw) -> Result<Fleet, String> {
    let mut fleet = Fleet::new(size, seed, flaw);
    for event in events {
        fleet.happen(event)?;
    }
    fleet.happen(&Event::Run(60))?;
    Ok(fleet)
}

proptest! {
    #[test]
    fn no_lease_without_a_record_in_force((size, seed, events) in story()) {
        if let Err(violation) = play(size, seed, &events, Flaw::None) {
            prop_assert!(false, "{}", violation);
        }
    }
}

/// The first of `stories` generated stories in which the flaw shows.
fn first_violation(flaw: Flaw, stories: usize) -> Option<usize> {
    let mut runner = TestRunner::deterministic();
    (0..stories).find(|_| {
        let (size, seed, events) = story().new_tree(&mut runner).unwrap().current();
        play(size, seed, &events, flaw).is_err()
    })
}

#[test]
fn the_model_notices_each_missing_mechanism() {
    for flaw in [
        Flaw::AnswerDatedAtArrival,
        Flaw::ReadDatedAtArrival,
        Flaw::RestartedCountsAtOnce,
        Flaw::InForceOnceAccepted,
    ] {
        let found = first_violation(flaw, 5_000);
        println!("{flaw:?}: first violation in story {found:?}");
        assert!(found.is_some(), "{flaw:?} was not noticed");
    }
}

#[test]
fn the_model_reaches_reports_and_majority_leases() {
    let mut runner = TestRunner::deterministic();
    let (mut reports, mut majority_grants) = (0, 0);
    for _ in 0..100 {
        let (size, seed, events) = story().new_tree(&mut runner).unwrap().current();
        let fleet = play(size, seed, &events, Flaw::None).unwrap();
        reports += fleet.reports;
        majority_grants += fleet.majority_grants;
    }
    println!("{reports} reports of records in force, {majority_grants} majority leases");
    assert!(reports > 100);
    assert!(majority_grants > 100);
}
