//! Simulates one run on a virtual clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use ferry_decisions::quarantine::{Placement, RequestFingerprint, RunOutcome};
use rand::prelude::*;
use rand::rngs::StdRng;

use super::quarantine_fleet::{QuarantineFleet, fingerprint};
use super::{QuarantineExperiment, QuarantineOutcome, QuarantineScenario, QuarantineVariant};

/// Maximum time until a router detects that its upstream crashed, in milliseconds.
const MAX_CRASH_DETECTION_MS: u64 = 20;
/// Interval at which a draining upstream is checked again, in milliseconds.
const DRAIN_POLL_MS: u64 = 20;
/// Time of the first send of the first poison request, in milliseconds.
const FIRST_POISON_MS: u64 = 5_000;

/// A scheduled event; the derived order only breaks ties between events of the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RunEvent {
    Harmless,
    Poison {
        poison: u64,
        send: u32,
    },
    Place {
        request: usize,
    },
    Start {
        request: usize,
        upstream: usize,
        drain_until: u64,
    },
    Finish {
        request: usize,
        run: u32,
    },
    Crash {
        request: usize,
        run: u32,
    },
    Exchange,
}

/// State of one simulated request.
struct RunRequest {
    fingerprint: RequestFingerprint,
    router: usize,
    /// Index of the poison request and number of its send, from 1; `None` for a harmless request.
    poison: Option<(u64, u32)>,
    idempotent: bool,
    start_ms: u64,
    /// Runs started so far; events of earlier runs are ignored.
    runs: u32,
    upstream: Option<usize>,
    done: bool,
}

/// State of one simulated run.
pub(super) struct QuarantineRun<'a> {
    experiment: &'a QuarantineExperiment,
    scenario: &'a QuarantineScenario,
    variant: QuarantineVariant,
    fleet: QuarantineFleet,
    random: StdRng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, RunEvent)>>,
    requests: Vec<RunRequest>,
    outcome: QuarantineOutcome,
}

impl<'a> QuarantineRun<'a> {
    pub(super) fn new(
        experiment: &'a QuarantineExperiment,
        scenario: &'a QuarantineScenario,
        variant: QuarantineVariant,
        seed: u64,
    ) -> Self {
        Self {
            experiment,
            scenario,
            variant,
            fleet: QuarantineFleet::new(experiment, variant),
            random: StdRng::seed_from_u64(seed),
            now: 0,
            events: BinaryHeap::new(),
            requests: Vec::new(),
            outcome: QuarantineOutcome::default(),
        }
    }

    pub(super) fn simulate(mut self) -> QuarantineOutcome {
        self.schedule_after(0, RunEvent::Harmless);
        self.schedule_after(0, RunEvent::Exchange);
        for poison in 0..u64::from(self.scenario.poisons) {
            let first_ms = FIRST_POISON_MS + poison * self.scenario.apart_ms;
            self.schedule_after(first_ms, RunEvent::Poison { poison, send: 1 });
        }
        let end_ms = self.experiment.duration_s * 1_000;
        let last_ms = end_ms + self.experiment.deadline_ms;
        while let Some(Reverse((at, event))) = self.events.pop()
            && at <= last_ms
        {
            self.now = at;
            self.handle_event(event, end_ms);
        }
        let harmless = |request: &&RunRequest| request.poison.is_none() && request.idempotent;
        let unfinished = self.requests.iter().filter(harmless).filter(|r| !r.done);
        self.outcome.unanswered += unfinished.count() as u64;
        self.outcome
    }

    fn handle_event(&mut self, event: RunEvent, end_ms: u64) {
        match event {
            RunEvent::Harmless if self.now < end_ms => self.send_harmless(),
            RunEvent::Harmless => {}
            RunEvent::Poison { poison, send } => self.send_poison(poison, send),
            RunEvent::Place { request } => self.place(request),
            RunEvent::Start {
                request,
                upstream,
                drain_until,
            } => self.start(request, upstream, drain_until),
            RunEvent::Finish { request, run } => self.finish(request, run),
            RunEvent::Crash { request, run } => self.crash(request, run),
            RunEvent::Exchange => {
                self.fleet.exchange();
                self.schedule_after(self.experiment.peer_interval_ms, RunEvent::Exchange);
            }
        }
    }

    fn send_harmless(&mut self) {
        let idempotent = self.random.random::<f64>() >= self.experiment.not_idempotent_share;
        let number = (1 << 32) + self.requests.len() as u64;
        self.send(fingerprint(number), None, idempotent);
        let uniform: f64 = 1.0 - self.random.random::<f64>();
        let gap_ms = -uniform.ln() * 1_000.0 / self.experiment.requests_per_second;
        self.schedule_after(gap_ms.ceil() as u64, RunEvent::Harmless);
    }

    fn send_poison(&mut self, poison: u64, send: u32) {
        let idempotent = self.scenario.poison_idempotent;
        self.send(fingerprint(poison), Some((poison, send)), idempotent);
    }

    fn send(
        &mut self,
        fingerprint: RequestFingerprint,
        poison: Option<(u64, u32)>,
        idempotent: bool,
    ) {
        self.requests.push(RunRequest {
            fingerprint,
            router: self.random.random_range(0..self.experiment.routers),
            poison,
            idempotent,
            start_ms: self.now,
            runs: 0,
            upstream: None,
            done: false,
        });
        self.place(self.requests.len() - 1);
    }

    fn place(&mut self, request: usize) {
        let RunRequest {
            router,
            fingerprint,
            start_ms,
            ..
        } = self.requests[request];
        if self.now >= start_ms + self.experiment.deadline_ms {
            self.fleet
                .finish(router, &fingerprint, RunOutcome::Abandoned, self.now);
            self.fail(request);
            return;
        }
        match self.fleet.place(router, &fingerprint, self.now) {
            Placement::Shared { avoid } => match self.fleet.least_loaded(&avoid, self.now) {
                Some(upstream) => self.start(request, upstream, self.now),
                None => self.schedule_after(DRAIN_POLL_MS, RunEvent::Place { request }),
            },
            Placement::Isolated { upstream, drain_ms } => {
                let upstream = self.fleet.index_of(&upstream).expect("a listed upstream");
                self.start(request, upstream, self.now + drain_ms);
            }
            Placement::Wait { retry_after_ms } => {
                self.schedule_after(retry_after_ms, RunEvent::Place { request });
            }
            Placement::Quarantined => {
                match self.requests[request].poison {
                    Some(_) => self.outcome.refused_poison += 1,
                    None => self.outcome.wrongly_quarantined += 1,
                }
                self.fail(request);
            }
        }
    }

    /// Runs `request` once its upstream has no other requests, but no later than `drain_until`.
    fn start(&mut self, request: usize, upstream: usize, drain_until: u64) {
        let target = &mut self.fleet.upstreams[upstream];
        if target.available_from > self.now {
            let RunRequest {
                router,
                fingerprint,
                ..
            } = self.requests[request];
            self.fleet
                .finish(router, &fingerprint, RunOutcome::Abandoned, self.now);
            self.schedule_after(0, RunEvent::Place { request });
            return;
        }
        if !target.running.is_empty() && self.now < drain_until {
            let event = RunEvent::Start {
                request,
                upstream,
                drain_until,
            };
            self.schedule_after(DRAIN_POLL_MS, event);
            return;
        }
        target.running.push(request);
        let entry = &mut self.requests[request];
        entry.runs += 1;
        entry.upstream = Some(upstream);
        let (run, is_poison) = (entry.runs, entry.poison.is_some());
        if is_poison {
            let crash_ms = self.random.random_range(1..=self.experiment.crash_ms);
            self.schedule_after(crash_ms, RunEvent::Crash { request, run });
        } else {
            let mean = self.experiment.answer_ms;
            let answer_ms = self.random.random_range(mean / 2..=mean + mean / 2);
            self.schedule_after(answer_ms, RunEvent::Finish { request, run });
        }
    }

    fn finish(&mut self, request: usize, run: u32) {
        let entry = &mut self.requests[request];
        if entry.done || entry.runs != run {
            return;
        }
        let Some(upstream) = entry.upstream.take() else {
            return;
        };
        entry.done = true;
        let latency_ms = self.now - entry.start_ms;
        if latency_ms > self.experiment.deadline_ms {
            self.outcome.unanswered += u64::from(entry.idempotent);
        } else if run > 1 {
            self.outcome.retried_ms.push(latency_ms as f64);
        }
        let (router, fingerprint) = (entry.router, entry.fingerprint);
        self.fleet.upstreams[upstream]
            .running
            .retain(|r| *r != request);
        self.fleet
            .finish(router, &fingerprint, RunOutcome::Survived, self.now);
    }

    fn crash(&mut self, request: usize, run: u32) {
        let entry = &self.requests[request];
        let Some(upstream) = entry.upstream.filter(|_| entry.runs == run) else {
            return;
        };
        self.outcome.crashes += 1;
        let target = &mut self.fleet.upstreams[upstream];
        target.available_from = self.now + self.experiment.restart_ms;
        let interrupted = std::mem::take(&mut target.running);
        for router in 0..self.experiment.routers {
            let own_requests: Vec<usize> = interrupted
                .iter()
                .copied()
                .filter(|r| self.requests[*r].router == router)
                .collect();
            let fingerprints: Vec<RequestFingerprint> = own_requests
                .iter()
                .map(|r| self.requests[*r].fingerprint)
                .collect();
            self.fleet
                .record_crash(router, upstream, &fingerprints, self.now);
            for fingerprint in &fingerprints {
                self.fleet
                    .finish(router, fingerprint, RunOutcome::Crashed, self.now);
            }
        }
        interrupted
            .into_iter()
            .for_each(|request| self.retry_or_fail(request));
    }

    /// Retries a request after a crash of its upstream if the variant permits it, and else fails
    /// it.
    fn retry_or_fail(&mut self, request: usize) {
        let entry = &mut self.requests[request];
        entry.upstream = None;
        let tries = match self.variant {
            QuarantineVariant::NoContainment => self.experiment.tries,
            QuarantineVariant::Alone | QuarantineVariant::Pooled => u32::MAX,
        };
        if entry.idempotent && entry.runs < tries {
            let detection_ms = self.random.random_range(1..=MAX_CRASH_DETECTION_MS);
            self.schedule_after(detection_ms, RunEvent::Place { request });
            return;
        }
        if !entry.idempotent && entry.poison.is_none() {
            self.outcome.lost_not_idempotent += 1;
        }
        self.fail(request);
    }

    /// Ends a request without an answer; the caller of a poison request sends it again.
    fn fail(&mut self, request: usize) {
        let entry = &mut self.requests[request];
        entry.done = true;
        match entry.poison {
            None => self.outcome.unanswered += u64::from(entry.idempotent),
            Some((poison, send)) if send < self.experiment.sends => {
                let send = send + 1;
                self.schedule_after(self.experiment.resend_ms, RunEvent::Poison { poison, send });
            }
            Some(_) => {}
        }
    }

    fn schedule_after(&mut self, delay_ms: u64, event: RunEvent) {
        self.events.push(Reverse((self.now + delay_ms, event)));
    }
}
