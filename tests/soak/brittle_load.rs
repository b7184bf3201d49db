//! Brittle upstreams with little room, and load on their service through all relays.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ferry_decisions::ruleset::RunKind;
use ferry_kernel::http::{HttpClient, collect_limited};
use ferry_rig::{fixture_headers, fixture_request};
use ferry_standin::replica::RunStatus;
use ferry_standin::{ReplicaPlan, ReplicaStandin};
use tokio::time::{Instant, interval};

use crate::caller_load::CALL_TIMEOUT;
use crate::fault_plan::{FaultPlan, RELAYS};
use crate::limit_load::{is_disturbed, start_upstream};
use crate::soak_fleet::SoakFleet;

/// Service of the upstreams.
pub const BRITTLE_SERVICE: &str = "forms";
/// Path prefix of the requests, and the kind of run that its rule sets.
pub const BRITTLE_RULE: (&str, RunKind) = ("/forms/", RunKind::Idempotent);
/// Number of upstreams.
const UPSTREAMS: usize = 2;
/// Rejections per second that each of them survives.
const SURVIVED: u32 = 6;
/// Requests that each of them runs at once when it has become full.
const ROOM: usize = 1;
/// Time from the start after which they are full; they say that they are brittle from the start.
const FULL_AFTER: Duration = Duration::from_secs(4);
/// Breakdowns that are allowed.
const MAX_BREAKDOWNS: usize = 2;
/// Period of the requests.
const REQUEST_PERIOD: Duration = Duration::from_millis(50);
/// Time that an upstream needs for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(200);
/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Rejections by upstream: when, and through which relay.
#[derive(Debug)]
pub struct BrittleRecord {
    began_at: Instant,
    rejections: Vec<Vec<(Instant, usize)>>,
}

/// Sends requests until `stop` is set.
pub async fn send_to_brittle_until(fleet: Arc<SoakFleet>, stop: Arc<AtomicBool>) -> BrittleRecord {
    let mut upstreams = Vec::new();
    for number in 0..UPSTREAMS {
        let id = format!("{BRITTLE_SERVICE}-{number}");
        let upstream = start_upstream(&fleet, &id, BRITTLE_SERVICE).await;
        upstream.plan(plan(None));
        upstreams.push(upstream);
    }
    let mut relays = Vec::new();
    for relay in &fleet.relays {
        relays.push(relay.process.lock().await.callers());
    }
    let began_at = Instant::now();
    let client = HttpClient::default();
    let mut requests = interval(REQUEST_PERIOD);
    let mut is_full = false;
    for number in 0.. {
        requests.tick().await;
        if stop.load(Ordering::Acquire) {
            break;
        }
        if !is_full && began_at.elapsed() >= FULL_AFTER {
            is_full = true;
            upstreams
                .iter()
                .for_each(|upstream| upstream.plan(plan(Some(ROOM))));
        }
        let path = format!("{}{number}", BRITTLE_RULE.0);
        let id = format!("{number}");
        let request = fixture_request(relays[number % RELAYS], &path, &fixture_headers(&id));
        let client = client.clone();
        tokio::spawn(async move {
            if let Ok(answer) = client.send(request, CALL_TIMEOUT).await {
                // Only the rejections count here.
                let _ = collect_limited(answer.into_body(), MAX_ANSWER_BYTES).await;
            }
        });
    }
    BrittleRecord {
        began_at,
        rejections: upstreams.iter().map(rejections).collect(),
    }
}

impl BrittleRecord {
    /// Describes how often upstreams broke down by rejections of relays that `plan` did not disturb.
    pub fn violations(&self, plan: &FaultPlan) -> Vec<String> {
        let breakdowns = self.rejections.iter().map(|rejections| {
            let counted = rejections
                .iter()
                .filter(|(at, relay)| !is_disturbed(plan, *relay, *at - self.began_at));
            breakdowns(counted.map(|(at, _)| *at))
        });
        let breakdowns: usize = breakdowns.sum();
        let is_violated = breakdowns > MAX_BREAKDOWNS + UPSTREAMS / 10;
        let description = format!("brittle upstreams broke down {breakdowns} times");
        is_violated.then_some(description).into_iter().collect()
    }
}

/// Number of times at which more than [`SURVIVED`] rejections had come within a second.
fn breakdowns(rejections: impl Iterator<Item = Instant>) -> usize {
    let mut recent: Vec<Instant> = Vec::new();
    let mut breakdowns = 0;
    for at in rejections {
        recent.retain(|earlier| at - *earlier < Duration::from_secs(1));
        recent.push(at);
        if recent.len() > SURVIVED as usize {
            breakdowns += 1;
            recent.clear();
        }
    }
    breakdowns
}

fn plan(room: Option<usize>) -> ReplicaPlan {
    ReplicaPlan {
        wait: ANSWER_TIME,
        rejections: Some(SURVIVED),
        room,
        ..ReplicaPlan::default()
    }
}

fn rejections(upstream: &ReplicaStandin) -> Vec<(Instant, usize)> {
    let runs = upstream.runs();
    let rejected = runs.iter().filter(|run| run.status == RunStatus::Refused);
    let rejected = rejected.map(|run| {
        let number: usize = run.request.attempt_id.parse().unwrap();
        (run.at, number % RELAYS)
    });
    rejected.collect()
}
