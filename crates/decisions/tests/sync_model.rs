//! Model of a fleet whose routers sync from one another, with a store that fails, routers that are cut off from it, frozen,
//! killed, or started together.
//!
//! Load pattern: whatever breaks, all routers look for recent content at the same time. Guards against a fleet that then
//! asks more of the store than it can give, so that it never has recent content again.

use std::collections::HashMap;
use std::time::Duration;

use ferry_decisions::names::{HostName, ZoneName};
use ferry_decisions::sync::{RouterEntry, SourceList, SyncOrder, SyncOutcome, SyncPlanner};
use ferry_decisions::time::MonotonicTime;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const STEP: Duration = Duration::from_millis(50);
/// Time between two reads of a router that reads the store, and after a failed one.
const READ_PERIOD: Duration = Duration::from_millis(550);
const READ_RETRY: Duration = Duration::from_millis(300);
/// Time after which an answer arrives, if it may wait for a change and if not.
const WAITING_ANSWER: Duration = Duration::from_millis(400);
const PROMPT_ANSWER: Duration = Duration::from_millis(50);
/// Time after which a query without an answer is given up.
const QUERY_TIMEOUT: Duration = Duration::from_millis(900);
/// The same where others wait for the link to that router too.
const LONG_QUERY_TIMEOUT: Duration = Duration::from_secs(4);
/// Time until a router asks again if no source has recent content, and until it looks for further sources while queries run.
const ROUND_DELAY: Duration = Duration::from_millis(200);
const CHECK_PERIOD: Duration = Duration::from_millis(350);
/// Age up to which content is recent.
const RECENT_AGE: Duration = Duration::from_millis(1_300);

/// Reads of the store per second and availability zone that a fleet of any size may make.
const READS_PER_ZONE: usize = 30;
/// Time after the end of the last fault in which each router must have recent content again.
const RECOVERY_TIME: Duration = Duration::from_secs(2);
/// Age that content may have between two answers.
const AGE_BOUND: Duration = Duration::from_secs(2);
/// Time in which faults occur, and their longest duration.
const FAULT_TIME: Duration = Duration::from_secs(12);
const MAX_FAULT: Duration = Duration::from_secs(9);

/// One router of the model.
struct ModelRouter {
    entry: RouterEntry,
    planner: SyncPlanner,
    /// When the store certainly held nothing newer than this router's content.
    confirmed_at: Option<MonotonicTime>,
    /// Router that read this content from the store.
    origin: Option<HostName>,
    next_read_at: MonotonicTime,
    next_begin_at: MonotonicTime,
    /// Queries in progress, with the time of their end.
    queries: Vec<(HostName, MonotonicTime)>,
    /// Time until which it is dead or frozen; a dead one has lost its state.
    away_until: MonotonicTime,
    /// Time until which the store turns it away.
    refused_until: MonotonicTime,
}

/// Faults of one run, drawn from a seed.
#[derive(Debug, Clone)]
enum Fault {
    StoreDown,
    Refused { share: f64, heads: bool },
    Killed { share: f64 },
    Frozen { share: f64 },
}

struct ModelFleet {
    routers: Vec<ModelRouter>,
    index: HashMap<HostName, usize>,
    order: SyncOrder,
    now: MonotonicTime,
    store_down_until: MonotonicTime,
    query_timeout: Duration,
    /// Reads of the store by second.
    reads: Vec<usize>,
    random: StdRng,
}

fn zone(number: usize) -> ZoneName {
    ZoneName::new(&format!("zone-{number}"))
}

fn entry(number: usize, zones: usize) -> RouterEntry {
    RouterEntry {
        host: HostName::new(&format!("entry-{number}")),
        zone: zone(number % zones),
        address: "127.0.0.1:1".parse().unwrap(),
        link_mbps: if number < zones * 3 { 200 } else { 20 },
    }
}

impl ModelRouter {
    fn new(entry: RouterEntry, now: MonotonicTime) -> Self {
        Self {
            planner: SyncPlanner::new(entry.clone(), now),
            entry,
            confirmed_at: None,
            origin: None,
            next_read_at: now,
            next_begin_at: now,
            queries: Vec::new(),
            away_until: MonotonicTime(i64::MIN),
            refused_until: MonotonicTime(i64::MIN),
        }
    }

    fn is_away(&self, now: MonotonicTime) -> bool {
        now < self.away_until
    }

    fn age(&self, now: MonotonicTime) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }
}

impl ModelFleet {
    fn new(count: usize, zones: usize, seed: u64) -> Self {
        let now = MonotonicTime(0);
        let entries: Vec<RouterEntry> = (0..count).map(|number| entry(number, zones)).collect();
        let routers = entries
            .iter()
            .map(|entry| ModelRouter::new(entry.clone(), now));
        let routers: Vec<ModelRouter> = routers.collect();
        let index = entries.iter().enumerate();
        Self {
            index: index
                .map(|(index, entry)| (entry.host.clone(), index))
                .collect(),
            order: SyncOrder::new(entries),
            routers,
            now,
            store_down_until: MonotonicTime(i64::MIN),
            query_timeout: QUERY_TIMEOUT,
            reads: Vec::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now.after(time);
        while self.now < end {
            for index in 0..self.routers.len() {
                if !self.routers[index].is_away(self.now) {
                    self.step(index);
                }
            }
            self.now = self.now.after(STEP);
        }
    }

    fn step(&mut self, index: usize) {
        self.read_store(index);
        self.end_queries(index);
        let now = self.now;
        let router = &mut self.routers[index];
        if now < router.next_begin_at {
            return;
        }
        router.next_begin_at = now.after(CHECK_PERIOD);
        let proven = router.planner.proven().cloned();
        let mut sources: SourceList = router.planner.sources(&self.order, now);
        sources.retain(|source| router.queries.iter().all(|(asked, _)| asked != source));
        for source in sources {
            let is_away = self.routers[self.index[&source]].is_away(now);
            let time = match (is_away, proven.as_ref() == Some(&source)) {
                (true, _) => self.query_timeout,
                (false, true) => WAITING_ANSWER,
                (false, false) => PROMPT_ANSWER,
            };
            self.routers[index].queries.push((source, now.after(time)));
        }
    }

    fn read_store(&mut self, index: usize) {
        let now = self.now;
        let router = &self.routers[index];
        let is_reader = router.planner.is_reader(&self.order, now);
        let probe = router.planner.next_probe(&self.order, now);
        let is_probe = !is_reader && probe.is_some_and(|at| at <= now);
        if !is_probe && (!is_reader || now < router.next_read_at) {
            return;
        }
        let answers = now >= self.store_down_until && now >= router.refused_until;
        self.count_read();
        let router = &mut self.routers[index];
        if is_probe {
            router.planner.record_probe(now);
        }
        if answers {
            router.confirmed_at = Some(now);
            router.origin = Some(router.entry.host.clone());
            router.planner.record_read(now);
        }
        router.next_read_at = now.after(if answers { READ_PERIOD } else { READ_RETRY });
    }

    fn count_read(&mut self) {
        let second = (self.now.0 / 1_000_000) as usize;
        if self.reads.len() <= second {
            self.reads.resize(second + 1, 0);
        }
        self.reads[second] += 1;
    }

    /// Ends the queries whose time has come. Each source is asked again on its own.
    fn end_queries(&mut self, index: usize) {
        let now = self.now;
        let queries = std::mem::take(&mut self.routers[index].queries);
        let (ended, left): (Vec<_>, Vec<_>) = queries.into_iter().partition(|(_, end)| *end <= now);
        for (source, _) in ended {
            let other = &self.routers[self.index[&source]];
            let content = (!other.is_away(now)).then_some(other.confirmed_at);
            let origin = other.origin.clone();
            let own = &self.routers[index].entry.host;
            let outcome = match content {
                None => SyncOutcome::Failed,
                Some(at) if at.is_none_or(|at| now.since(at) > RECENT_AGE) => SyncOutcome::Outdated,
                Some(_) if origin.as_ref() == Some(own) => SyncOutcome::OwnReads,
                Some(_) => SyncOutcome::Recent,
            };
            let router = &mut self.routers[index];
            router.confirmed_at = router.confirmed_at.max(content.flatten());
            if outcome == SyncOutcome::Recent {
                router.origin = origin;
            }
            let was_synced_from = router.planner.proven() == Some(&source);
            let is_superseded = router.planner.is_superseded(&source, &self.order, now);
            if outcome != SyncOutcome::Recent || !is_superseded {
                router.planner.record(&source, outcome, now);
            }
            router.next_begin_at = match router.planner.proven() {
                None if !was_synced_from => now.after(ROUND_DELAY),
                _ => now,
            };
        }
        self.routers[index].queries = left;
    }

    fn strike(&mut self, fault: &Fault, time: Duration) {
        let (now, end) = (self.now, self.now.after(time));
        match fault {
            Fault::StoreDown => self.store_down_until = self.store_down_until.max(end),
            Fault::Refused { share, heads } => {
                let heads = heads.then(|| self.first_hosts()).unwrap_or_default();
                for router in &mut self.routers {
                    let is_head = heads.contains(&router.entry.host);
                    if is_head || self.random.random_bool(*share) {
                        router.refused_until = end;
                    }
                }
            }
            Fault::Killed { share } => {
                for router in &mut self.routers {
                    if self.random.random_bool(*share) {
                        *router = ModelRouter::new(router.entry.clone(), end);
                        router.away_until = end;
                    }
                }
            }
            Fault::Frozen { share } => {
                for router in &mut self.routers {
                    if self.random.random_bool(*share) && !router.is_away(now) {
                        router.away_until = end;
                    }
                }
            }
        }
    }

    /// First host of each availability zone.
    fn first_hosts(&self) -> Vec<HostName> {
        let nowhere = ZoneName::new("nowhere");
        let heads = self.order.heads_of_others(&nowhere, 1);
        heads.into_iter().cloned().collect()
    }

    fn draw_fault(&mut self) -> Fault {
        match self.random.random_range(0..5) {
            0 => Fault::StoreDown,
            1 => Fault::Refused {
                share: self.random.random_range(0.1..0.6),
                heads: self.random.random_bool(0.5),
            },
            2 => Fault::Killed { share: 1.0 },
            3 => Fault::Killed {
                share: self.random.random_range(0.1..0.6),
            },
            _ => Fault::Frozen {
                share: self.random.random_range(0.05..0.4),
            },
        }
    }

    fn assert_recent(&self, when: &str) {
        for router in &self.routers {
            let age = router.age(self.now);
            assert!(
                age.is_some_and(|age| age <= AGE_BOUND),
                "{when}: content of {} is {age:?} old",
                router.entry.host
            );
        }
    }

    fn assert_reads(&self, zones: usize, what: &str) {
        let most = self.reads.iter().max().copied().unwrap_or(0);
        assert!(
            most <= READS_PER_ZONE * zones,
            "{what}: {most} reads of the store in one second"
        );
    }
}

/// Plays random faults; each of them ends before the last check.
fn play(count: usize, zones: usize, seed: u64) -> ModelFleet {
    let mut fleet = ModelFleet::new(count, zones, seed);
    fleet.run(Duration::from_secs(3));
    fleet.assert_recent("after the start");
    let faults_end = fleet.now.after(FAULT_TIME);
    let mut last_end = fleet.now;
    while fleet.now < faults_end {
        let fault = fleet.draw_fault();
        let time = MAX_FAULT.mul_f64(fleet.random.random_range(0.1..1.0));
        fleet.strike(&fault, time);
        last_end = last_end.max(fleet.now.after(time));
        let pause = Duration::from_millis(fleet.random.random_range(200..4_000));
        fleet.run(pause);
    }
    fleet.run(last_end.since(fleet.now) + RECOVERY_TIME);
    fleet.assert_recent("after the faults");
    fleet
}

#[test]
fn a_fleet_of_any_size_recovers_from_random_faults_with_few_reads() {
    for seed in 0..12 {
        let fleet = play(300, 5, seed);
        fleet.assert_reads(5, &format!("300 routers, seed {seed}"));
    }
    for seed in 0..40 {
        let fleet = play(7, 3, seed);
        fleet.assert_reads(3, &format!("7 routers, seed {seed}"));
    }
}

#[test]
fn reads_during_an_outage_do_not_grow_with_the_routers() {
    for count in [60, 300] {
        let mut fleet = ModelFleet::new(count, 5, 1);
        fleet.run(Duration::from_secs(3));
        fleet.strike(&Fault::StoreDown, Duration::from_secs(9));
        fleet.run(Duration::from_secs(9) + RECOVERY_TIME);
        fleet.assert_recent("after the outage");
        fleet.assert_reads(5, &format!("{count} routers"));
    }
}

#[test]
fn routers_stay_recent_while_all_that_read_the_store_for_others_are_turned_away() {
    let mut fleet = ModelFleet::new(300, 5, 1);
    fleet.run(Duration::from_secs(3));
    let fault = Fault::Refused {
        share: 0.35,
        heads: true,
    };
    fleet.strike(&fault, Duration::from_secs(9));
    fleet.run(Duration::from_secs(3));
    for _ in 0..20 {
        fleet.run(Duration::from_millis(300));
        fleet.assert_recent("while some are turned away");
    }
    fleet.assert_reads(5, "some are turned away");
}

#[test]
fn a_router_that_does_not_answer_is_replaced_by_the_next_one() {
    let mut fleet = ModelFleet::new(60, 3, 1);
    fleet.run(Duration::from_secs(3));
    let heads = fleet.first_hosts();
    let end = fleet.now.after(Duration::from_secs(60));
    for head in &heads {
        let index = fleet.index[head];
        fleet.routers[index].away_until = end;
    }
    fleet.run(Duration::from_secs(3));
    fleet
        .routers
        .retain(|router| !heads.contains(&router.entry.host));
    fleet.assert_recent("after the loss");
}

/// Plays a fleet of three zones with `size` routers each, of which the routers of the first zone at the places `gone` of the order leave for good.
fn assert_zone_stays_recent(size: usize, gone: &[usize]) {
    let mut fleet = ModelFleet::new(size * 3, 3, 1);
    fleet.query_timeout = LONG_QUERY_TIMEOUT;
    fleet.run(Duration::from_secs(3));
    let end = fleet.now.after(Duration::from_secs(600));
    let zone = zone(0);
    let hosts: Vec<HostName> = fleet.order.of_zone(&zone).cloned().collect();
    for place in gone {
        let index = fleet.index[&hosts[*place]];
        fleet.routers[index].away_until = end;
    }
    let left = (0..size).filter(|place| !gone.contains(place));
    let left: Vec<usize> = left.map(|place| fleet.index[&hosts[place]]).collect();
    fleet.run(LONG_QUERY_TIMEOUT * 2);
    for _ in 0..400 {
        fleet.run(Duration::from_millis(100));
        for index in &left {
            let age = fleet.routers[*index].age(fleet.now);
            let is_recent = age.is_some_and(|age| age <= AGE_BOUND);
            assert!(is_recent, "{gone:?} of {size} are gone: {age:?} old");
        }
    }
}

/// Guards against a router that reads the store, and stops as soon as it may ask one again that did not answer (CONFIG): whichever of the first
/// ones of its zone have left, one, two or all but one.
#[test]
fn the_routers_that_are_left_of_a_zone_stay_recent_while_they_ask_those_that_have_left() {
    for size in 2..=5 {
        for count in 1..size {
            let first: Vec<usize> = (0..count).collect();
            assert_zone_stays_recent(size, &first);
        }
    }
    assert_zone_stays_recent(4, &[0, 2]);
    assert_zone_stays_recent(4, &[1, 2]);
    assert_zone_stays_recent(5, &[0, 1, 3]);
}
