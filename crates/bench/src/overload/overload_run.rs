//! One run: one policy, one seed, from the first arrival to the last deadline.

use std::time::Duration;

use ferry_decisions::admission::PriorityClass;
use ferry_decisions::names::{HostName, ZoneName};
use ferry_decisions::retry::UpstreamFailure;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::arrival_trace::{self, ArrivalEntry};
use super::event_queue::{EventQueue, RunEvent};
use super::peer_exchange;
use super::phase_figures::WorkOutcome;
use super::router_state::{KnownEngine, RouterState};
use super::run_figures::RunFigures;
use super::virtual_engine::{EngineJob, VirtualEngine};
use super::work_item::WorkItem;
use super::{FaultKind, OverloadExperiment, PolicyArm};

/// One-way delay within an availability zone.
const LOCAL_DELAY: Duration = Duration::from_micros(300);
/// One-way delay between availability zones.
const ZONE_DELAY: Duration = Duration::from_micros(1_500);

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
        peer_exchange::read_reports(self.now, &mut self.engines, &mut self.routers);
        if self.arm.pooled {
            peer_exchange::share_flights(self.now, &mut self.routers);
        }
        peer_exchange::share_demand(
            self.now,
            &mut self.routers,
            self.experiment.workspaces.len(),
        );
        let next = self.now + Duration::from_millis(self.experiment.routers.tick_ms);
        if next < self.end {
            self.events.push(next, RunEvent::Tick);
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
