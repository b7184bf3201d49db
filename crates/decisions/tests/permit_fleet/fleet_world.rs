//! Routers, issuers and the upstream, event by event.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use ferry_decisions::limits::{
    IssuerChoice, PermitKey, PermitOutcome, RoomGuard, RoomLoad, RoomQuery, is_first_issuer,
};
use ferry_decisions::names::HostName;
use ferry_decisions::registry::UpstreamIncarnation;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fleet_play::{FleetPlay, LENGTH_MS};
use crate::{at, hosts, upstream};

/// Span in which rejections count.
const SPAN_MS: u64 = 1_000;
/// Time for which a router waits for the answer to a query, and the number of queries for one request.
const ANSWER_TIMEOUT_MS: u64 = 200;
const QUERIES: u64 = 2;
/// Deadline of each request, and time that its permit lives longer.
const DEADLINE_MS: u64 = 4_000;
const EXTRA_LIFETIME_MS: u64 = 500;
/// Time for which a router still listens once the caller has left.
const LISTEN_MS: u64 = 200;
/// Time after which a report that was not answered is sent again.
const RESEND_MS: u64 = ANSWER_TIMEOUT_MS + 300;
/// Time after the start in which others may still issue the permits of a router.
const TAKE_OVER_MS: u64 = 3_000;

/// One query for a permit of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Ask {
    request: u64,
    turn: u64,
    issuer: usize,
}

/// Load that the upstream stated, and when.
type StatedLoad = (u32, u32, u64);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller sends a request.
    Request(u64),
    /// Its caller leaves.
    Leave(u64),
    /// Nobody listens any more to the answer of a request whose caller has left.
    Close(u64),
    /// A query reaches the issuer.
    Query(Ask),
    /// Its answer reaches the router.
    Reply(Ask, bool),
    /// No answer came in time.
    Timeout(Ask),
    /// A request reaches the upstream.
    Arrival(u64),
    /// The upstream sees that a connection is closed.
    Closed(u64),
    /// A run ends there.
    RunEnd(u64),
    /// An answer, or the beginning of one, reaches the router.
    Answer(u64, Option<bool>, StatedLoad),
    /// What became of a permit reaches its issuer.
    Report(Ask, Reported, StatedLoad),
    /// A report that was not answered is sent again.
    Resend(Ask, Reported, StatedLoad),
}

/// What a report says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Reported {
    Answering,
    Done,
    Rejected,
    Unused,
    Abandoned,
}

/// State of a request at its router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    Asking(Ask),
    Sent(Ask),
    /// Its caller has left; the router still listens.
    Listening(Ask),
    Ended,
}

/// What became of it.
#[derive(Debug, Default)]
pub struct FleetResult {
    pub rejected: Vec<u64>,
    pub served: Vec<u64>,
}

pub struct FleetWorld {
    play: FleetPlay,
    rng: StdRng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    hosts: Vec<HostName>,
    upstream: UpstreamIncarnation,
    choices: Vec<IssuerChoice>,
    guards: HashMap<usize, RoomGuard>,
    requests: HashMap<u64, (RequestState, u64)>,
    running: Vec<u64>,
    waiting: VecDeque<u64>,
    result: FleetResult,
}

impl FleetWorld {
    pub fn new(play: FleetPlay) -> Self {
        Self {
            rng: StdRng::seed_from_u64(play.seed),
            hosts: hosts(play.routers),
            upstream: upstream(0),
            choices: (0..play.routers).map(|_| IssuerChoice::default()).collect(),
            play,
            events: BinaryHeap::new(),
            sequence: 0,
            guards: HashMap::new(),
            requests: HashMap::new(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            result: FleetResult::default(),
        }
    }

    pub fn run(mut self) -> FleetResult {
        self.schedule(0, Event::Request(0));
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now >= LENGTH_MS {
                break;
            }
            match self.frozen_until(event, now) {
                Some(end) => self.schedule(end, event),
                None => self.handle(now, event),
            }
        }
        self.result
    }

    fn delay(&mut self) -> u64 {
        self.rng.random_range(1..=self.play.delay_ms)
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn router(&self, request: u64) -> usize {
        request as usize % self.play.routers
    }

    /// End of the suspension of the host that would handle `event`.
    fn frozen_until(&self, event: Event, now: u64) -> Option<u64> {
        let host = match event {
            Event::Leave(request) | Event::Close(request) | Event::Answer(request, ..) => {
                self.router(request)
            }
            Event::Reply(ask, _) | Event::Timeout(ask) | Event::Resend(ask, ..) => {
                self.router(ask.request)
            }
            Event::Query(ask) | Event::Report(ask, ..) => ask.issuer,
            Event::Request(_) | Event::Arrival(_) | Event::Closed(_) | Event::RunEnd(_) => {
                return None;
            }
        };
        self.play.is_frozen(host, now)
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Request(number) => self.begin_request(now, number),
            Event::Leave(number) => self.leave(now, number),
            Event::Close(number) => self.close(now, number),
            Event::Query(ask) => self.issue(now, ask),
            Event::Reply(ask, is_issued) => self.take_reply(now, ask, is_issued),
            Event::Timeout(ask) => self.time_out(now, ask),
            Event::Arrival(number) => self.arrive(now, number),
            Event::Closed(number) => self.drop_closed(now, number),
            Event::RunEnd(number) => self.end_run(now, number),
            Event::Answer(number, outcome, load) => self.take_answer(now, number, outcome, load),
            Event::Report(ask, reported, load) => self.take_report(now, ask, reported, load),
            Event::Resend(ask, reported, load) => self.resend(now, ask, reported, load),
        }
    }

    fn begin_request(&mut self, now: u64, number: u64) {
        self.schedule(now + self.play.pause_ms, Event::Request(number + 1));
        if self.play.is_frozen(self.router(number), now).is_some() {
            return;
        }
        let leaving = self.play.leaving;
        if let Some(leaving) = leaving.filter(|leaving| number.is_multiple_of(leaving.one_in)) {
            self.schedule(now + leaving.patience_ms, Event::Leave(number));
        }
        self.requests.insert(number, (RequestState::Ended, now));
        self.ask(now, number, 0);
    }

    fn ask(&mut self, now: u64, number: u64, turn: u64) {
        let router = self.router(number);
        let issuer = self.choices[router].choose(&self.upstream, &self.hosts, at(now));
        let issuer = issuer.filter(|_| turn < QUERIES);
        let issuer = issuer.and_then(|host| self.hosts.iter().position(|known| known == host));
        let Some(issuer) = issuer else {
            self.set_state(number, RequestState::Ended);
            return;
        };
        let ask = Ask {
            request: number,
            turn,
            issuer,
        };
        self.set_state(number, RequestState::Asking(ask));
        self.schedule(now + ANSWER_TIMEOUT_MS, Event::Timeout(ask));
        if !self.play.is_cut(router, issuer, now) {
            let delay = self.delay();
            self.schedule(now + delay, Event::Query(ask));
        }
    }

    fn set_state(&mut self, number: u64, state: RequestState) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.0 = state;
        }
    }

    fn state(&self, number: u64) -> RequestState {
        let request = self.requests.get(&number);
        request.map_or(RequestState::Ended, |(state, _)| *state)
    }

    fn issue(&mut self, now: u64, ask: Ask) {
        let host = &self.hosts[ask.issuer];
        let is_substitute = !is_first_issuer(&self.upstream, &self.hosts, host);
        let is_only = !is_substitute && now >= TAKE_OVER_MS;
        let guard = self
            .guards
            .entry(ask.issuer)
            .or_insert_with(|| RoomGuard::new(is_only, at(now)));
        let query = RoomQuery {
            key: key(ask),
            survived: self.play.survived,
            slots: self.play.slots,
            lifetime: Duration::from_millis(DEADLINE_MS + EXTRA_LIFETIME_MS),
            is_substitute,
        };
        let is_issued = guard.take(&query, at(now)).is_ok();
        if !self.play.is_cut(self.router(ask.request), ask.issuer, now) {
            let delay = self.delay();
            self.schedule(now + delay, Event::Reply(ask, is_issued));
        }
    }

    fn take_reply(&mut self, now: u64, ask: Ask, is_issued: bool) {
        let router = self.router(ask.request);
        self.choices[router].record_answer(&self.hosts[ask.issuer]);
        if self.state(ask.request) != RequestState::Asking(ask) {
            return;
        }
        let sent_at = self.requests[&ask.request].1;
        if !is_issued {
            self.set_state(ask.request, RequestState::Ended);
        } else if now >= sent_at + DEADLINE_MS {
            self.set_state(ask.request, RequestState::Ended);
            self.report(now, ask, Reported::Unused, (0, 0, now));
        } else {
            self.set_state(ask.request, RequestState::Sent(ask));
            let delay = self.delay();
            self.schedule(now + delay, Event::Arrival(ask.request));
        }
    }

    fn time_out(&mut self, now: u64, ask: Ask) {
        if self.state(ask.request) != RequestState::Asking(ask) {
            return;
        }
        let router = self.router(ask.request);
        self.choices[router].record_silence(&self.hosts[ask.issuer], at(now));
        self.report(now, ask, Reported::Unused, (0, 0, now));
        self.ask(now, ask.request, ask.turn + 1);
    }

    fn leave(&mut self, now: u64, number: u64) {
        match self.state(number) {
            RequestState::Asking(ask) => {
                self.set_state(number, RequestState::Ended);
                self.report(now, ask, Reported::Unused, (0, 0, now));
            }
            RequestState::Sent(ask) => {
                self.set_state(number, RequestState::Listening(ask));
                self.schedule(now + LISTEN_MS, Event::Close(number));
            }
            RequestState::Listening(_) | RequestState::Ended => {}
        }
    }

    fn close(&mut self, now: u64, number: u64) {
        if let RequestState::Listening(ask) = self.state(number) {
            self.set_state(number, RequestState::Ended);
            self.report(now, ask, Reported::Abandoned, (0, 0, now));
            let delay = self.delay();
            self.schedule(now + delay, Event::Closed(number));
        }
    }

    /// Sends a report to the issuer that `ask` went to, and again if no answer comes.
    fn report(&mut self, now: u64, ask: Ask, reported: Reported, load: StatedLoad) {
        let is_cut = self.play.is_cut(self.router(ask.request), ask.issuer, now);
        let delay = self.delay();
        if !is_cut {
            self.schedule(now + delay, Event::Report(ask, reported, load));
        }
        let frozen_until = self.play.is_frozen(ask.issuer, now + delay);
        let is_late = frozen_until.is_some_and(|end| end > now + ANSWER_TIMEOUT_MS);
        if reported != Reported::Answering && (is_cut || is_late) {
            self.schedule(now + RESEND_MS, Event::Resend(ask, reported, load));
        }
    }

    fn resend(&mut self, now: u64, ask: Ask, reported: Reported, load: StatedLoad) {
        let sent_at = self.requests[&ask.request].1;
        if now < sent_at + DEADLINE_MS + EXTRA_LIFETIME_MS {
            self.report(now, ask, reported, load);
        }
    }

    fn take_report(&mut self, now: u64, ask: Ask, reported: Reported, load: StatedLoad) {
        let (running, waiting, stated_at) = load;
        let age = Duration::from_millis(now - stated_at);
        let load = RoomLoad {
            running,
            waiting,
            slots: self.play.slots,
            age,
        };
        let Some(guard) = self.guards.get_mut(&ask.issuer) else {
            return;
        };
        let (outcome, load) = match reported {
            Reported::Answering => return guard.record_load(load, at(now)),
            Reported::Done => (PermitOutcome::Done, Some(load)),
            Reported::Rejected => (PermitOutcome::Rejected, Some(load)),
            Reported::Unused => (PermitOutcome::Unused, None),
            Reported::Abandoned => (PermitOutcome::Abandoned, None),
        };
        guard.end(&key(ask), outcome, load, age, at(now));
    }

    fn arrive(&mut self, now: u64, number: u64) {
        let late = usize::from(now >= LENGTH_MS / 2);
        if self.running.len() < self.play.slots as usize {
            self.begin_run(now, number);
        } else if self.waiting.len() < self.play.queue[late] as usize {
            self.waiting.push_back(number);
        } else {
            self.result.rejected.push(now);
            self.answer(now, number, Some(true));
        }
    }

    fn begin_run(&mut self, now: u64, number: u64) {
        self.running.push(number);
        self.schedule(now + self.play.run_ms, Event::RunEnd(number));
        if self.play.streams {
            self.answer(now, number, None);
        }
    }

    fn drop_closed(&mut self, now: u64, number: u64) {
        let keeps = self.play.leaving;
        if keeps.is_some_and(|leaving| leaving.keeps_abandoned) {
            return;
        }
        self.waiting.retain(|waiting| *waiting != number);
        if let Some(index) = self.running.iter().position(|running| *running == number) {
            self.running.swap_remove(index);
            self.begin_next(now);
        }
    }

    fn end_run(&mut self, now: u64, number: u64) {
        let Some(index) = self.running.iter().position(|running| *running == number) else {
            return;
        };
        self.answer(now, number, Some(false));
        self.running.swap_remove(index);
        self.result.served.push(now);
        self.begin_next(now);
    }

    fn begin_next(&mut self, now: u64) {
        if let Some(next) = self.waiting.pop_front() {
            self.begin_run(now, next);
        }
    }

    fn answer(&mut self, now: u64, number: u64, outcome: Option<bool>) {
        let load = (self.running.len() as u32, self.waiting.len() as u32, now);
        let delay = self.delay();
        self.schedule(now + delay, Event::Answer(number, outcome, load));
    }

    fn take_answer(&mut self, now: u64, number: u64, outcome: Option<bool>, load: StatedLoad) {
        let (RequestState::Sent(ask) | RequestState::Listening(ask)) = self.state(number) else {
            return;
        };
        let reported = match outcome {
            None => Reported::Answering,
            Some(true) => Reported::Rejected,
            Some(false) => Reported::Done,
        };
        if outcome.is_some() {
            self.set_state(number, RequestState::Ended);
        }
        self.report(now, ask, reported, load);
    }
}

impl FleetResult {
    pub fn most_in_a_second(&self) -> usize {
        let in_span = |begin: &u64| {
            let span = *begin..*begin + SPAN_MS;
            self.rejected.iter().filter(|at| span.contains(at)).count()
        };
        self.rejected.iter().map(in_span).max().unwrap_or_default()
    }
}

fn key(ask: Ask) -> PermitKey {
    let router = format!("of-{}", ask.request);
    (router.as_str().into(), ask.turn)
}
