//! Simulates one run: one policy and one seed, from the first arrival to the last deadline.

use std::time::Duration;

use ferry_decisions::admission::PriorityClass;
use ferry_decisions::names::{HostName, ZoneName};
use ferry_decisions::retry::UpstreamFailure;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::arrival_trace::{self, ArrivalEntry};
use super::event_queue::{EventQueue, RunEvent};
use super::group_figures::RequestOutcome;
use super::peer_exchange;
use super::router_state::{KnownEngine, RouterState};
use super::run_figures::RunFigures;
use super::simulated_request::SimulatedRequest;
use super::virtual_engine::{EngineJob, VirtualEngine};
use super::{FaultKind, OverloadExperiment, PolicyVariant};

/// One-way network delay within an availability zone.
const LOCAL_DELAY: Duration = Duration::from_micros(300);
/// One-way network delay between availability zones.
const ZONE_DELAY: Duration = Duration::from_micros(1_500);

/// State of one simulated run.
struct OverloadRun<'a> {
    experiment: &'a OverloadExperiment,
    variant: &'a PolicyVariant,
    now: Duration,
    events: EventQueue,
    engines: Vec<VirtualEngine>,
    routers: Vec<RouterState>,
    requests: Vec<SimulatedRequest>,
    /// Time of the last deadline; no ticks are scheduled after it.
    end: Duration,
    figures: RunFigures,
}

/// Simulates `experiment` with the policy `variant` and returns the figures of the run.
pub(super) fn simulate(
    experiment: &OverloadExperiment,
    variant: &PolicyVariant,
    seed: u64,
) -> RunFigures {
    let mut run = OverloadRun::new(experiment, variant, seed);
    while let Some((at, event)) = run.events.pop() {
        run.now = at;
        run.handle(event);
    }
    run.figures
}

impl<'a> OverloadRun<'a> {
    fn new(experiment: &'a OverloadExperiment, variant: &'a PolicyVariant, seed: u64) -> Self {
        let deadline = |class: usize| Duration::from_millis(experiment.classes[class].deadline_ms);
        let longest = (0..experiment.classes.len()).map(deadline).max();
        let requests: Vec<SimulatedRequest> = arrival_trace::generate(experiment, seed)
            .into_iter()
            .map(|entry| SimulatedRequest::new(entry, entry.at + deadline(entry.class)))
            .collect();
        let mut run = Self {
            experiment,
            variant,
            now: Duration::ZERO,
            events: EventQueue::default(),
            engines: vec_of(experiment.engines.count, |_| {
                VirtualEngine::new(&experiment.engines)
            }),
            routers: vec_of(experiment.routers.count, |i| {
                router(experiment, variant, seed, i)
            }),
            requests,
            end: experiment.duration() + longest.unwrap_or_default(),
            figures: RunFigures::new(experiment),
        };
        run.schedule();
        run
    }

    fn schedule(&mut self) {
        self.events.push(Duration::ZERO, RunEvent::Tick);
        for (index, request) in self.requests.iter().enumerate() {
            self.events.push(request.entry.at, RunEvent::Arrival(index));
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
            RunEvent::Arrival(request) => self.arrive(request),
            RunEvent::Delivery { request, attempt } => self.deliver(request, attempt),
            RunEvent::Step {
                engine,
                incarnation,
            } => self.end_step(engine, incarnation),
            RunEvent::Answer { request, attempt } => self.answer(request, attempt),
            RunEvent::Failure {
                request,
                attempt,
                failure,
            } => self.fail(request, attempt, failure),
            RunEvent::Deadline(request) => self.expire(request),
            RunEvent::Tick => self.tick(),
            RunEvent::FaultBegin(index) => self.begin_fault(index),
            RunEvent::FaultEnd(index) => self.end_fault(index),
        }
    }

    fn arrive(&mut self, request: usize) {
        let state = &self.requests[request];
        let entry = state.entry;
        self.events
            .push(state.deadline, RunEvent::Deadline(request));
        self.figures.update(&entry, |f| f.offered += 1);
        let class = self.class_of(&entry);
        self.routers[entry.router].offer(self.now, entry.workspace, class);
        self.dispatch(request);
    }

    fn class_of(&self, entry: &ArrivalEntry) -> PriorityClass {
        self.experiment.classes[entry.class].priority
    }

    fn dispatch(&mut self, request: usize) {
        let class = self.class_of(&self.requests[request].entry);
        let state = &mut self.requests[request];
        let router = &mut self.routers[state.entry.router];
        let Some((engine, rank)) = router.choose_engine(self.now, state, class) else {
            return self.finish(request, RequestOutcome::Refused);
        };
        let known = &mut router.engines[engine];
        known.own.begin(self.now, rank);
        state.tried.push(known.name.clone());
        state.engine = Some(engine);
        state.rank = rank;
        state.attempts += 1;
        let attempt = state.attempts;
        let at = self.now + self.delay(request);
        self.events
            .push(at, RunEvent::Delivery { request, attempt });
    }

    /// One-way network delay between the router and the engine of `request`.
    fn delay(&self, request: usize) -> Duration {
        let state = &self.requests[request];
        let zones = self.experiment.engines.zones;
        let engine = state.engine.unwrap_or_default();
        if engine % zones == state.entry.router % zones {
            LOCAL_DELAY
        } else {
            ZONE_DELAY
        }
    }

    fn deliver(&mut self, request: usize, attempt: u32) {
        let state = &self.requests[request];
        let Some(engine) = state.engine.filter(|_| state.is_current_attempt(attempt)) else {
            return;
        };
        let job = EngineJob {
            request,
            attempt,
            rank: state.rank,
            steps_left: state.entry.steps,
        };
        if !self.engines[engine].is_alive() {
            self.report_failure(request, attempt, UpstreamFailure::ConnectFailed);
        } else if self.engines[engine].enqueue(job) {
            self.start_step(engine);
        } else {
            self.report_failure(request, attempt, UpstreamFailure::QueueFull);
        }
    }

    fn report_failure(&mut self, request: usize, attempt: u32, failure: UpstreamFailure) {
        let event = RunEvent::Failure {
            request,
            attempt,
            failure,
        };
        self.events.push(self.now + self.delay(request), event);
    }

    fn start_step(&mut self, engine: usize) {
        let incarnation = self.engines[engine].incarnation();
        if let Some(duration) = self.engines[engine].start_step() {
            let event = RunEvent::Step {
                engine,
                incarnation,
            };
            self.events.push(self.now + duration, event);
        }
    }

    fn end_step(&mut self, engine: usize, incarnation: u32) {
        if self.engines[engine].incarnation() != incarnation {
            return;
        }
        for job in self.engines[engine].end_step() {
            let (request, attempt) = (job.request, job.attempt);
            let at = self.now + self.delay(request);
            self.events.push(at, RunEvent::Answer { request, attempt });
        }
        self.start_step(engine);
    }

    fn answer(&mut self, request: usize, attempt: u32) {
        if !self.requests[request].is_current_attempt(attempt) {
            return;
        }
        let entry = self.requests[request].entry;
        let class = self.class_of(&entry);
        self.routers[entry.router].record_answer(self.now, class, entry.steps);
        self.release(request);
        self.finish(request, RequestOutcome::Answered);
        self.figures
            .update(&entry, |f| f.useful_steps += u64::from(entry.steps));
        let second = self.now.as_secs() as usize;
        if let Some(count) = self.figures.answers_by_second.get_mut(second) {
            *count += 1;
        }
    }

    fn fail(&mut self, request: usize, attempt: u32, failure: UpstreamFailure) {
        if !self.requests[request].is_current_attempt(attempt) {
            return;
        }
        let engine = self.release(request);
        let state = &self.requests[request];
        let class = self.class_of(&state.entry);
        let router = &mut self.routers[state.entry.router];
        let should_retry = router.should_retry(self.now, state, class, engine, failure);
        let state = &mut self.requests[request];
        state.run = state.run.max(failure.run_state());
        if should_retry {
            let entry = state.entry;
            self.figures.update(&entry, |f| f.retries += 1);
            self.dispatch(request);
        } else {
            self.finish(request, RequestOutcome::Refused);
        }
    }

    fn expire(&mut self, request: usize) {
        if self.requests[request].done {
            return;
        }
        if self.requests[request].engine.is_some() {
            let engine = self.release(request);
            self.engines[engine].cancel(request);
        }
        self.finish(request, RequestOutcome::Late);
    }

    /// Ends the current attempt of `request`; returns the index of its engine.
    fn release(&mut self, request: usize) -> usize {
        let state = &mut self.requests[request];
        let engine = state.engine.take().unwrap_or_default();
        self.routers[state.entry.router].engines[engine]
            .own
            .end(self.now, state.rank);
        engine
    }

    fn finish(&mut self, request: usize, outcome: RequestOutcome) {
        let state = &mut self.requests[request];
        state.done = true;
        let entry = state.entry;
        let elapsed = self.now - entry.at;
        self.figures.update(&entry, |f| f.record(outcome, elapsed));
    }

    fn tick(&mut self) {
        for engine in &mut self.engines {
            engine.record_report(self.now);
        }
        peer_exchange::read_reports(self.now, &mut self.engines, &mut self.routers);
        if self.variant.pooled {
            peer_exchange::exchange_in_flight(self.now, &mut self.routers);
        }
        peer_exchange::exchange_demand(
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
            FaultKind::Slow => self.engines[fault.engine].set_slowdown(fault.factor),
            FaultKind::Dead => {
                for job in self.engines[fault.engine].crash() {
                    let failure = UpstreamFailure::BrokenBeforeAnswer;
                    self.report_failure(job.request, job.attempt, failure);
                }
            }
        }
    }

    fn end_fault(&mut self, index: usize) {
        let fault = &self.experiment.faults[index];
        match fault.fault {
            FaultKind::Slow => self.engines[fault.engine].set_slowdown(1.0),
            FaultKind::Dead => self.engines[fault.engine].restart(),
        }
    }
}

fn router(
    experiment: &OverloadExperiment,
    variant: &PolicyVariant,
    seed: u64,
    index: usize,
) -> RouterState {
    let zone =
        |number: usize| ZoneName::new(&format!("zone-{}", number % experiment.engines.zones));
    let engines = vec_of(experiment.engines.count, |engine| {
        KnownEngine::new(HostName::new(&format!("engine-{engine}")), zone(engine))
    });
    let rng = StdRng::seed_from_u64(seed ^ ((index as u64 + 1) << 32));
    RouterState::new(
        variant,
        zone(index),
        rng,
        engines,
        experiment.workspaces.len(),
    )
}

fn vec_of<T>(count: usize, make: impl Fn(usize) -> T) -> Vec<T> {
    (0..count).map(make).collect()
}
