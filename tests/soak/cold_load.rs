//! Upstreams that become cold, beside one that does not, and load on their service through all relays.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ferry_decisions::limits::ColdSpec;
use ferry_decisions::registry::UpstreamStage;
use ferry_decisions::ruleset::{RunKind, ServiceSpec};
use ferry_kernel::http::{HttpClient, collect_limited};
use ferry_rig::{fixture_headers, fixture_request};
use ferry_standin::replica::{DEFAULT_ZONE, HEALTH_PATH};
use ferry_standin::{ReplicaPlan, ReplicaStandin};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::{Instant, interval};

use crate::caller_load::CALL_TIMEOUT;
use crate::fault_plan::FAULT_WINDOW;
use crate::limit_load::start_upstream_in;
use crate::soak_fleet::{EVACUATED_ZONE, SoakFleet};

/// Service of the upstreams.
pub const COLD_SERVICE: &str = "tickets";
/// Path prefix of the requests, and the kind of run that its rule sets.
pub const COLD_RULE: (&str, RunKind) = ("/tickets/", RunKind::Idempotent);
/// Limit of the service.
const SPEC: ColdSpec = ColdSpec {
    start: Duration::from_secs(3),
    per_second: 12.0,
};
/// Requests that a cold upstream may get in any second: 12 x 1.5 + 5.
const ALLOWED: usize = 23;
/// Span in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Time after which all relays must know that an upstream is cold; its answers state it.
const HEARD_AFTER: Duration = Duration::from_secs(1);
/// Zones of the upstreams; the first ones become cold by the plan, all in the evacuated zone when its evacuation ends.
const ZONES: [&str; 4] = [DEFAULT_ZONE, EVACUATED_ZONE, DEFAULT_ZONE, DEFAULT_ZONE];
/// Number of upstreams that become cold by the plan.
const COLD_UPSTREAMS: usize = 2;
/// Number of times that each of them becomes cold.
const SPELLS: usize = 2;
/// Prefix of the requests' identifiers.
const ID_PREFIX: &str = "ticket-";
/// Period of the requests: without a limit each upstream gets 33 in a second.
const REQUEST_PERIOD: Duration = Duration::from_micros(7_500);
/// Time that an upstream needs for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(10);
/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;
/// Maximum number of connections to an upstream.
const CONNECTIONS: u32 = 100;

/// One time for which an upstream is cold.
#[derive(Debug, Clone, Copy)]
struct ColdSpell {
    upstream: usize,
    /// Time from the start of the load.
    at: Duration,
    lasts: Duration,
    /// Whether the upstream's entry states it as well as its answers.
    is_in_entry: bool,
}

/// What reached the upstreams, and when they were cold.
#[derive(Debug)]
pub struct ColdRecord {
    /// Arrivals by upstream.
    arrivals: Vec<Vec<Instant>>,
    spells: Vec<ColdTime>,
}

/// A time for which an upstream was cold.
#[derive(Debug, Clone, Copy)]
struct ColdTime {
    upstream: usize,
    begun: Instant,
    /// When all relays must keep the limit.
    known: Instant,
    end: Instant,
}

/// Description of the service in the configurations.
pub fn cold_service() -> ServiceSpec {
    ServiceSpec {
        name: COLD_SERVICE.into(),
        connections: CONNECTIONS,
        models: Vec::new(),
        cold: SPEC,
        health_path: Some(HEALTH_PATH.to_owned()),
    }
}

/// Times at which upstreams become cold, in order; an upstream may become cold again while it is.
///
/// They use a separate random generator, so that the other faults of a seed do not change.
fn cold_spells(seed: u64) -> Vec<ColdSpell> {
    let mut random = StdRng::seed_from_u64(seed.rotate_left(32) ^ 4);
    let numbers = (0..COLD_UPSTREAMS * SPELLS).map(|number| number % COLD_UPSTREAMS);
    let mut spells: Vec<ColdSpell> = numbers
        .map(|upstream| ColdSpell {
            upstream,
            at: random.random_range(Duration::ZERO..FAULT_WINDOW),
            lasts: Duration::from_millis(random.random_range(2_000..5_000)),
            is_in_entry: random.random(),
        })
        .collect();
    spells.sort_by_key(|spell| spell.at);
    spells
}

/// Sends requests until `stop` is set, while upstreams become cold as `seed` says.
pub async fn cold_until(fleet: Arc<SoakFleet>, seed: u64, stop: Arc<AtomicBool>) -> ColdRecord {
    let mut upstreams = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        let id = format!("tickets-{number}");
        let upstream = start_upstream_in(&fleet, &id, COLD_SERVICE, zone).await;
        upstream.plan(plan(None));
        upstreams.push(upstream);
    }
    let mut relays = Vec::new();
    for relay in &fleet.relays {
        relays.push(relay.process.lock().await.callers());
    }
    let mut planned = cold_spells(seed).into_iter().peekable();
    let mut spells = Vec::new();
    let began_at = Instant::now();
    let client = HttpClient::default();
    let mut requests = interval(REQUEST_PERIOD);
    for number in 0.. {
        requests.tick().await;
        if stop.load(Ordering::Acquire) {
            break;
        }
        while let Some(spell) = planned.next_if(|spell| began_at.elapsed() >= spell.at) {
            let sequence = spells.len() as u64 + 2;
            begin_spell(&fleet, &upstreams[spell.upstream], &spell, sequence);
            let now = Instant::now();
            // The one before is over: the upstream states the new one only.
            let earlier = spells.iter_mut();
            for earlier in earlier.filter(|time: &&mut ColdTime| time.upstream == spell.upstream) {
                earlier.end = now.min(earlier.end);
            }
            spells.push(ColdTime {
                upstream: spell.upstream,
                begun: now,
                known: now + HEARD_AFTER,
                end: now + spell.lasts,
            });
        }
        let path = format!("{}{number}", COLD_RULE.0);
        let id = format!("{ID_PREFIX}{number}");
        let request = fixture_request(relays[number % relays.len()], &path, &fixture_headers(&id));
        let client = client.clone();
        tokio::spawn(async move {
            if let Ok(answer) = client.send(request, CALL_TIMEOUT).await {
                // Only the arrivals count here.
                let _ = collect_limited(answer.into_body(), MAX_ANSWER_BYTES).await;
            }
        });
    }
    if let Some(ended) = fleet.evacuation_end() {
        let zones = ZONES.iter().enumerate();
        let evacuated = zones.filter(|(_, zone)| **zone == EVACUATED_ZONE);
        // Whoever has not heard of the end sends nothing.
        spells.extend(evacuated.map(|(upstream, _)| ColdTime {
            upstream,
            begun: ended,
            known: ended,
            end: ended + SPEC.start,
        }));
    }
    ColdRecord {
        arrivals: upstreams.iter().map(arrivals).collect(),
        spells,
    }
}

/// Lets `upstream` become cold.
fn begin_spell(fleet: &SoakFleet, upstream: &ReplicaStandin, spell: &ColdSpell, sequence: u64) {
    upstream.plan(plan(Some(spell.lasts)));
    if spell.is_in_entry {
        upstream.register(fleet.store(), UpstreamStage::Ready, sequence);
    }
}

impl ColdRecord {
    /// Describes the limits that the relays did not keep together. No relay is excused.
    pub fn violations(&self) -> Vec<String> {
        let violations = self.spells.iter().filter_map(|time| {
            let upstream = time.upstream;
            let arrivals = self.arrivals[upstream].iter();
            let counted = arrivals.filter(|at| (time.known..time.end).contains(at));
            let counted: Vec<Instant> = counted.copied().collect();
            let (most, at) = most_in_window(&counted)?;
            let after = at - time.begun;
            (most > ALLOWED).then(|| {
                format!(
                    "the cold upstream tickets-{upstream} got {most} requests in a second, {after:?} after it became cold, allowed {ALLOWED}"
                )
            })
        });
        violations.collect()
    }

    /// Requests that reached upstreams while these were cold, by time.
    pub fn counts(&self) -> Vec<usize> {
        let counts = self.spells.iter().map(|time| {
            let cold = time.begun..time.end;
            let arrivals = self.arrivals[time.upstream].iter();
            arrivals.filter(|at| cold.contains(at)).count()
        });
        counts.collect()
    }
}

fn plan(cold: Option<Duration>) -> ReplicaPlan {
    ReplicaPlan {
        wait: ANSWER_TIME,
        cold,
        ..ReplicaPlan::default()
    }
}

fn arrivals(upstream: &ReplicaStandin) -> Vec<Instant> {
    let runs = upstream.runs();
    let own = runs
        .iter()
        .filter(|run| run.request.attempt_id.starts_with(ID_PREFIX));
    own.map(|run| run.at).collect()
}

/// Highest number of arrivals in a window, and when that begins.
fn most_in_window(arrivals: &[Instant]) -> Option<(usize, Instant)> {
    let windows = arrivals.iter().map(|begin| {
        let window = *begin..*begin + WINDOW;
        let count = arrivals.iter().filter(|at| window.contains(at)).count();
        (count, *begin)
    });
    windows.max_by_key(|(count, _)| *count)
}
