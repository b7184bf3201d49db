//! One run on a virtual clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use ferry_decisions::quarantine::{Placement, RequestFingerprint, RunOutcome};
use rand::prelude::*;
use rand::rngs::StdRng;

use super::quarantine_fleet::{QuarantineFleet, fingerprint};
use super::{QuarantineExperiment, QuarantineOutcome, QuarantineScenario, QuarantineVariant};

/// Time until a router sees that its upstream crashed, in milliseconds, at most.
const NOTICE_MS: u64 = 20;
/// Time until a drained upstream is looked at again, in milliseconds.
const DRAIN_POLL_MS: u64 = 20;
/// First send of a poison request, in milliseconds.
const FIRST_POISON_MS: u64 = 5_000;

/// What happens next; ordered only to break ties of time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RunEvent {
    Innocent,
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

/// A request.
struct RunRequest {
    fingerprint: RequestFingerprint,
    router: usize,
    /// The poison and the number of its send; none for an innocent request.
    poison: Option<(u64, u32)>,
    idempotent: bool,
    start_ms: u64,
    /// Runs started so far; events of earlier runs are void.
    runs: u32,
    upstream: Option<usize>,
    done: bool,
}

/// One run.
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

    pub(super) fn play(mut self) -> QuarantineOutcome {
        self.after(0, RunEvent::Innocent);
        self.after(0, RunEvent::Exchange);
        for poison in 0..u64::from(self.scenario.poisons) {
            let first_ms = FIRST_POISON_MS + poison * self.scenario.apart_ms;
            self.after(first_ms, RunEvent::Poison { poison, send: 1 });
        }
        let end_ms = self.experiment.duration_s * 1_000;
        let last_ms = end_ms + self.experiment.deadline_ms;
        while let Some(Reverse((at, event))) = self.events.pop()
            && at <= last_ms
        {
            self.now = at;
            self.play_event(event, end_ms);
        }
        let innocent = |request: &&RunRequest| request.poison.is_none() && request.idempotent;
        let open = self.requests.iter().filter(innocent).filter(|r| !r.done);
        self.outcome.unanswered += open.count() as u64;
        self.outcome
    }

    fn play_event(&mut self, event: RunEvent, end_ms: u64) {
        match event {
            RunEvent::Innocent if self.now < end_ms => self.send_innocent(),
            RunEvent::Innocent => {}
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
                self.after(self.experiment.peer_interval_ms, RunEvent::Exchange);
            }
        }
    }

    fn send_innocent(&mut self) {
        let idempotent = self.random.random::<f64>() >= self.experiment.not_idempotent_share;
        let number = (1 << 32) + self.requests.len() as u64;
        self.send(fingerprint(number), None, idempotent);
        let uniform: f64 = 1.0 - self.random.random::<f64>();
        let gap_ms = -uniform.ln() * 1_000.0 / self.experiment.requests_per_second;
        self.after(gap_ms.ceil() as u64, RunEvent::Innocent);
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
                None => self.after(DRAIN_POLL_MS, RunEvent::Place { request }),
            },
            Placement::Isolated { upstream, drain_ms } => {
                let upstream = self.fleet.index_of(&upstream).expect("a listed upstream");
                self.start(request, upstream, self.now + drain_ms);
            }
            Placement::Wait { retry_after_ms } => {
                self.after(retry_after_ms, RunEvent::Place { request });
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

    /// Runs `request` once its upstream is empty, at the latest at `drain_until`.
    fn start(&mut self, request: usize, upstream: usize, drain_until: u64) {
        let target = &mut self.fleet.upstreams[upstream];
        if target.up_from > self.now {
            let RunRequest {
                router,
                fingerprint,
                ..
            } = self.requests[request];
            self.fleet
                .finish(router, &fingerprint, RunOutcome::Abandoned, self.now);
            self.after(0, RunEvent::Place { request });
            return;
        }
        if !target.running.is_empty() && self.now < drain_until {
            let event = RunEvent::Start {
                request,
                upstream,
                drain_until,
            };
            self.after(DRAIN_POLL_MS, event);
            return;
        }
        target.running.push(request);
        let entry = &mut self.requests[request];
        entry.runs += 1;
        entry.upstream = Some(upstream);
        let (run, is_poison) = (entry.runs, entry.poison.is_some());
        if is_poison {
            let crash_ms = self.random.random_range(1..=self.experiment.crash_ms);
            self.after(crash_ms, RunEvent::Crash { request, run });
        } else {
            let mean = self.experiment.answer_ms;
            let answer_ms = self.random.random_range(mean / 2..=mean + mean / 2);
            self.after(answer_ms, RunEvent::Finish { request, run });
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
        target.up_from = self.now + self.experiment.restart_ms;
        let died = std::mem::take(&mut target.running);
        for router in 0..self.experiment.routers {
            let mine: Vec<usize> = died
                .iter()
                .copied()
                .filter(|r| self.requests[*r].router == router)
                .collect();
            let fingerprints: Vec<RequestFingerprint> =
                mine.iter().map(|r| self.requests[*r].fingerprint).collect();
            self.fleet
                .record_crash(router, upstream, &fingerprints, self.now);
            for fingerprint in &fingerprints {
                self.fleet
                    .finish(router, fingerprint, RunOutcome::Crashed, self.now);
            }
        }
        died.into_iter().for_each(|request| self.recover(request));
    }

    /// Tries a request again whose upstream crashed, if it may.
    fn recover(&mut self, request: usize) {
        let entry = &mut self.requests[request];
        entry.upstream = None;
        let tries = match self.variant {
            QuarantineVariant::NoContainment => self.experiment.tries,
            QuarantineVariant::Alone | QuarantineVariant::Pooled => u32::MAX,
        };
        if entry.idempotent && entry.runs < tries {
            let notice_ms = self.random.random_range(1..=NOTICE_MS);
            self.after(notice_ms, RunEvent::Place { request });
            return;
        }
        if !entry.idempotent && entry.poison.is_none() {
            self.outcome.unrepeatable += 1;
        }
        self.fail(request);
    }

    /// Ends a request without an answer; the caller of a poison sends it again.
    fn fail(&mut self, request: usize) {
        let entry = &mut self.requests[request];
        entry.done = true;
        match entry.poison {
            None => self.outcome.unanswered += u64::from(entry.idempotent),
            Some((poison, send)) if send < self.experiment.sends => {
                let send = send + 1;
                self.after(self.experiment.resend_ms, RunEvent::Poison { poison, send });
            }
            Some(_) => {}
        }
    }

    fn after(&mut self, delay_ms: u64, event: RunEvent) {
        self.events.push(Reverse((self.now + delay_ms, event)));
    }
}
