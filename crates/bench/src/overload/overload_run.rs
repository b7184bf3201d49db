//! One run: one policy, one seed, from the first arrival to the last deadline.

use std::time::Duration;

use ferry_decisions::admission::PriorityClass;
use ferry_decisions::choice::RankCounts;
use ferry_decisions::limits::OfferedCount;
use ferry_decisions::names::{HostName, Incarnation, ZoneName};
use ferry_decisions::retry::UpstreamFailure;
use rand::SeedableRng;
use rand::rngs::StdRng;
use uuid::Uuid;

use super::arrival_trace::{self, ArrivalEntry};
use super::event_queue::{EventQueue, RunEvent};
use super::phase_figures::{PhaseFigures, WorkOutcome};
use super::router_state::{KnownEngine, RouterState};
use super::virtual_engine::{EngineJob, VirtualEngine};
use super::work_item::WorkItem;
use super::{FaultKind, OverloadExperiment, PolicyArm};

/// One-way delay within an availability zone.
const LOCAL_DELAY: Duration = Duration::from_micros(300);
/// One-way delay between availability zones.
const ZONE_DELAY: Duration = Duration::from_micros(1_500);

/// Figures of one run, or of several that were added up.
#[derive(Debug, Clone, Default)]
pub(super) struct RunFigures {
    /// Per phase, by time of arrival.
    pub(super) phases: Vec<PhaseFigures>,
    /// Per class, over all phases.
    pub(super) classes: Vec<PhaseFigures>,
    /// The first workspace, over all phases.
    pub(super) large: PhaseFigures,
    /// All other workspaces.
    pub(super) modest: PhaseFigures,
    /// Answers per second of the run.
    pub(super) answers_by_second: Vec<u64>,
}

impl RunFigures {
    fn new(experiment: &OverloadExperiment) -> Self {
        let seconds = experiment.duration().as_secs() as usize;
        Self {
            phases: vec![PhaseFigures::default(); experiment.phases.len()],
            classes: vec![PhaseFigures::default(); experiment.classes.len()],
            answers_by_second: vec![0; seconds],
            ..Self::default()
        }
    }

    /// Adds the figures of another run of the same experiment.
    pub(super) fn add(&mut self, other: &Self) {
        if self.phases.is_empty() {
            *self = other.clone();
            return;
        }
        for (phase, more) in self.phases.iter_mut().zip(&other.phases) {
            phase.add(more);
        }
        for (class, more) in self.classes.iter_mut().zip(&other.classes) {
            class.add(more);
        }
        self.large.add(&other.large);
        self.modest.add(&other.modest);
        for (count, more) in self
            .answers_by_second
            .iter_mut()
            .zip(&other.answers_by_second)
        {
            *count += more;
        }
    }

    fn update(&mut self, entry: &ArrivalEntry, change: impl Fn(&mut PhaseFigures)) {
        change(&mut self.phases[entry.phase]);
        change(&mut self.classes[entry.class]);
        if entry.workspace == 0 {
            change(&mut self.large);
        } else {
            change(&mut self.modest);
        }
    }
}

/// State of the run.
struct OverloadRun<'a> {
    experiment: &'a OverloadExperiment,
    arm: &'a PolicyArm,
    now: Duration,
    events: EventQueue,
    engines: Vec<VirtualEngine>,
    routers: Vec<RouterState>,
    items: Vec<WorkItem>,
    /// Time after which routers do nothing any more.
    end: Duration,
    figures: RunFigures,
}

/// Plays `arm` under `seed`.
pub(super) fn play(experiment: &OverloadExperiment, arm: &PolicyArm, seed: u64) -> RunFigures {
    let mut run = OverloadRun::new(experiment, arm, seed);
    while let Some((at, event)) = run.events.pop() {
        run.now = at;
        run.handle(event);
    }
    run.figures
}

impl<'a> OverloadRun<'a> {
    fn new(experiment: &'a OverloadExperiment, arm: &'a PolicyArm, seed: u64) -> Self {
        let deadline = |class: usize| Duration::from_millis(experiment.classes[class].deadline_ms);
        let longest = (0..experiment.classes.len()).map(deadline).max();
        let items: Vec<WorkItem> = arrival_trace::generate(experiment, seed)
            .into_iter()
            .map(|entry| WorkItem::new(entry, entry.at + deadline(entry.class)))
            .collect();
        let mut run = Self {
            experiment,
            arm,
            now: Duration::ZERO,
            events: EventQueue::default(),
            engines: vec_of(experiment.engines.count, |_| {
                VirtualEngine::new(&experiment.engines)
            }),
            routers: vec_of(experiment.routers.count, |i| {
                router(experiment, arm, seed, i)
            }),
            items,
            end: experiment.duration() + longest.unwrap_or_default(),
            figures: RunFigures::new(experiment),
        };
        run.schedule();
        run
    }

    fn schedule(&mut self) {
        self.events.push(Duration::ZERO, RunEvent::Tick);
        for (index, item) in self.items.iter().enumerate() {
            self.events.push(item.entry.at, RunEvent::Arrival(index));
        }
        for (index, fault) in self.experiment.faults.iter().enumerate() {
            let begin = Duration::from_secs_f64(fault.at_s);
            self.events.push(begin, RunEvent::FaultBegin(index));
            if let Some(until) = fault.until_s {
                let end = Duration::from_secs_f64(until);
                self.events.push(end, RunEvent::FaultEnd(index));
            }
        }
    }

    fn handle(&mut self, event: RunEvent) {
        match event {
            RunEvent::Arrival(item) => self.arrive(item),
            RunEvent::HandOver { item, attempt } => self.hand_over(item, attempt),
            RunEvent::Step { engine, life } => self.end_step(engine, life),
            RunEvent::Answer { item, attempt } => self.answer(item, attempt),
            RunEvent::Failure {
                item,
                attempt,
                failure,
            } => self.fail(item, attempt, failure),
            RunEvent::Deadline(item) => self.expire(item),
            RunEvent::Tick => self.tick(),
            RunEvent::FaultBegin(index) => self.begin_fault(index),
            RunEvent::FaultEnd(index) => self.end_fault(index),
        }
    }

    fn arrive(&mut self, item: usize) {
        let work = &self.items[item];
        let entry = work.entry;
        self.events.push(work.deadline, RunEvent::Deadline(item));
        self.figures.update(&entry, |f| f.offered += 1);
        let class = self.class_of(&entry);
        self.routers[entry.router].offer(self.now, entry.workspace, class);
        self.dispatch(item);
    }

    fn class_of(&self, entry: &ArrivalEntry) -> PriorityClass {
        self.experiment.classes[entry.class].priority
    }

    fn dispatch(&mut self, item: usize) {
        let class = self.class_of(&self.items[item].entry);
        let work = &mut self.items[item];
        let router = &mut self.routers[work.entry.router];
        let Some((engine, rank)) = router.place(self.now, work, class) else {
            return self.finish(item, WorkOutcome::Refused);
        };
        let known = &mut router.engines[engine];
        known.own.begin(self.now, rank);
        work.tried.push(known.name.clone());
        work.engine = Some(engine);
        work.rank = rank;
        work.attempts += 1;
        let attempt = work.attempts;
        let at = self.now + self.delay(item);
        self.events.push(at, RunEvent::HandOver { item, attempt });
    }

    /// One-way delay between the router and the engine of `item`.
    fn delay(&self, item: usize) -> Duration {
        let work = &self.items[item];
        let zones = self.experiment.engines.zones;
        let engine = work.engine.unwrap_or_default();
        if engine % zones == work.entry.router % zones {
            LOCAL_DELAY
        } else {
            ZONE_DELAY
        }
    }

    fn hand_over(&mut self, item: usize, attempt: u32) {
        let work = &self.items[item];
        let Some(engine) = work.engine.filter(|_| work.awaits(attempt)) else {
            return;
        };
        let job = EngineJob {
            item,
            attempt,
            rank: work.rank,
            steps_left: work.entry.steps,
        };
        if !self.engines[engine].is_alive() {
            self.report_failure(item, attempt, UpstreamFailure::ConnectFailed);
        } else if self.engines[engine].accept(job) {
            self.start_step(engine);
        } else {
            self.report_failure(item, attempt, UpstreamFailure::QueueFull);
        }
    }

    fn report_failure(&mut self, item: usize, attempt: u32, failure: UpstreamFailure) {
        let event = RunEvent::Failure {
            item,
            attempt,
            failure,
        };
        self.events.push(self.now + self.delay(item), event);
    }

    fn start_step(&mut self, engine: usize) {
        let life = self.engines[engine].life();
        if let Some(duration) = self.engines[engine].start_step() {
            let event = RunEvent::Step { engine, life };
            self.events.push(self.now + duration, event);
        }
    }

    fn end_step(&mut self, engine: usize, life: u32) {
        if self.engines[engine].life() != life {
            return;
        }
        for job in self.engines[engine].end_step() {
            let (item, attempt) = (job.item, job.attempt);
            let at = self.now + self.delay(item);
            self.events.push(at, RunEvent::Answer { item, attempt });
        }
        self.start_step(engine);
    }

    fn answer(&mut self, item: usize, attempt: u32) {
        if !self.items[item].awaits(attempt) {
            return;
        }
        let entry = self.items[item].entry;
        let class = self.class_of(&entry);
        self.routers[entry.router].learn(self.now, class, entry.steps);
        self.release(item);
        self.finish(item, WorkOutcome::Answered);
        self.figures
            .update(&entry, |f| f.work += u64::from(entry.steps));
        let second = self.now.as_secs() as usize;
        if let Some(count) = self.figures.answers_by_second.get_mut(second) {
            *count += 1;
        }
    }

    fn fail(&mut self, item: usize, attempt: u32, failure: UpstreamFailure) {
        if !self.items[item].awaits(attempt) {
            return;
        }
        let engine = self.release(item);
        let work = &self.items[item];
        let class = self.class_of(&work.entry);
        let router = &mut self.routers[work.entry.router];
        let retries = router.retries(self.now, work, class, engine, failure);
        let work = &mut self.items[item];
        work.run = work.run.max(failure.run_state());
        if retries {
            let entry = work.entry;
            self.figures.update(&entry, |f| f.retries += 1);
            self.dispatch(item);
        } else {
            self.finish(item, WorkOutcome::Refused);
        }
    }

    fn expire(&mut self, item: usize) {
        if self.items[item].done {
            return;
        }
        if self.items[item].engine.is_some() {
            let engine = self.release(item);
            self.engines[engine].cancel(item);
        }
        self.finish(item, WorkOutcome::Late);
    }

    /// Ends the attempt under way; returns its engine.
    fn release(&mut self, item: usize) -> usize {
        let work = &mut self.items[item];
        let engine = work.engine.take().unwrap_or_default();
        self.routers[work.entry.router].engines[engine]
            .own
            .end(self.now, work.rank);
        engine
    }

    fn finish(&mut self, item: usize, outcome: WorkOutcome) {
        let work = &mut self.items[item];
        work.done = true;
        let entry = work.entry;
        let after = self.now - entry.at;
        self.figures.update(&entry, |f| f.record(outcome, after));
    }

    fn tick(&mut self) {
        for engine in &mut self.engines {
            engine.sample(self.now);
        }
        self.read_reports();
        self.exchange_flights();
        self.exchange_demand();
        let next = self.now + Duration::from_millis(self.experiment.routers.tick_ms);
        if next < self.end {
            self.events.push(next, RunEvent::Tick);
        }
    }

    fn read_reports(&mut self) {
        for (index, engine) in self.engines.iter_mut().enumerate() {
            let shown = engine.shown_report(self.now);
            let step_ms = engine.last_step().as_secs_f64() * 1_000.0;
            for router in &mut self.routers {
                let known = &mut router.engines[index];
                known.report = shown;
                known.observed_step_ms = (known.own.current() > 0).then_some(step_ms);
            }
        }
    }

    fn exchange_flights(&mut self) {
        if !self.arm.pooled {
            return;
        }
        for engine in 0..self.engines.len() {
            let mut total = RankCounts::default();
            for router in &self.routers {
                let own = router.engines[engine].own.by_rank();
                total.iter_mut().zip(own).for_each(|(t, o)| *t += o);
            }
            for router in &mut self.routers {
                let known = &mut router.engines[engine];
                let mut others = total;
                let own = known.own.by_rank();
                others.iter_mut().zip(own).for_each(|(t, o)| *t -= o);
                known.peers.set(self.now, others);
            }
        }
    }

    fn exchange_demand(&mut self) {
        for workspace in 0..self.experiment.workspaces.len() {
            for class in PriorityClass::ALL {
                self.exchange_counts(workspace, class);
            }
        }
        for router in &mut self.routers {
            router.share_out(self.now);
        }
    }

    fn exchange_counts(&mut self, workspace: usize, class: PriorityClass) {
        let total = |router: &RouterState| router.offered_total(workspace, class);
        let totals: Vec<u64> = self.routers.iter().map(total).collect();
        for (index, router) in self.routers.iter_mut().enumerate() {
            for (peer, total) in totals.iter().enumerate().filter(|(p, _)| *p != index) {
                let count = OfferedCount {
                    router: Incarnation(Uuid::from_u128(peer as u128)),
                    total: *total,
                };
                router.merge(self.now, workspace, class, count);
            }
        }
    }

    fn begin_fault(&mut self, index: usize) {
        let fault = &self.experiment.faults[index];
        match fault.fault {
            FaultKind::Slow => self.engines[fault.engine].set_slowness(fault.factor),
            FaultKind::Dead => {
                for job in self.engines[fault.engine].die() {
                    let failure = UpstreamFailure::BrokenBeforeAnswer;
                    self.report_failure(job.item, job.attempt, failure);
                }
            }
        }
    }

    fn end_fault(&mut self, index: usize) {
        let fault = &self.experiment.faults[index];
        match fault.fault {
            FaultKind::Slow => self.engines[fault.engine].set_slowness(1.0),
            FaultKind::Dead => self.engines[fault.engine].revive(),
        }
    }
}

fn router(
    experiment: &OverloadExperiment,
    arm: &PolicyArm,
    seed: u64,
    index: usize,
) -> RouterState {
    let zone =
        |number: usize| ZoneName::new(&format!("zone-{}", number % experiment.engines.zones));
    let engines = vec_of(experiment.engines.count, |engine| {
        KnownEngine::new(HostName::new(&format!("engine-{engine}")), zone(engine))
    });
    let rng = StdRng::seed_from_u64(seed ^ ((index as u64 + 1) << 32));
    RouterState::new(arm, zone(index), rng, engines, experiment.workspaces.len())
}

fn vec_of<T>(count: usize, make: impl Fn(usize) -> T) -> Vec<T> {
    (0..count).map(make).collect()
}
