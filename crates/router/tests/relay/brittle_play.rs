//! A play of brittle upstreams at routers that are many for each of them.
//!
//! Load pattern: all upstreams of a service say that they are brittle, later let fewer requests wait, and some crash; each one comes back as a new process.

use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::ruleset::RunKind;
use ferry_router::relay::RelayDaemon;
use ferry_standin::brittle::{AnswerPlan, BrittleOptions, ReturnName};
use ferry_standin::{BrittleStandin, BrittleTimes};
use futures::future::join_all;
use hyper::StatusCode;
use hyper::header::RETRY_AFTER;
use tokio::time::{Instant, interval_at, sleep_until, timeout};

use crate::brittle_upstream::{RUN_TIME, SHORT_QUEUE, SURVIVED, brittle_options};
use crate::deployment::{CollectedResponse, Deployment, call, eventually, is_ready, request, rule};

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const ROUTERS: usize = 20;
const UPSTREAMS: usize = 10;
/// Break downs that are allowed in one time: two and a tenth of the upstreams.
pub const ALLOWED_FALLS: usize = 2 + UPSTREAMS / 10;
/// Time for which the upstreams behave as usual, and for which they then say that they are brittle before fewer requests may wait.
const USUAL_TIME: Duration = Duration::from_secs(3);
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time for which few requests may wait.
const BRITTLE_TIME: Duration = Duration::from_secs(12);
/// Time after that moment at which upstreams crash for another reason.
const CRASH_DELAY: Duration = Duration::from_secs(2);

/// What is played.
pub struct BrittlePlay {
    /// Pause between two requests.
    pub pause: Duration,
    /// Number of upstreams that crash for another reason.
    pub crashes: usize,
    /// Time for which a request runs.
    pub run_time: Duration,
    pub returns_as: ReturnName,
    /// Time after which callers leave, if any does, and one in how many does.
    pub patience: Option<Duration>,
    pub leaves_one_in: usize,
    /// Rejections in a second that each upstream survives, and requests that may wait at last.
    pub survived: u32,
    pub short_queue: u32,
    /// Whether the upstreams go on with requests whose connections were closed.
    pub keeps_abandoned: bool,
}

impl Default for BrittlePlay {
    fn default() -> Self {
        Self {
            pause: Duration::from_millis(3),
            crashes: 0,
            run_time: RUN_TIME,
            returns_as: ReturnName::Same,
            patience: None,
            leaves_one_in: 2,
            survived: SURVIVED,
            short_queue: SHORT_QUEUE,
            keeps_abandoned: false,
        }
    }
}

/// What became of it; the fields that no test reads are for its message.
#[derive(Debug)]
#[allow(dead_code)]
pub struct PlayResult {
    pub falls: usize,
    /// When the upstreams broke down, after the first one said that it is brittle.
    fell_at: Vec<Duration>,
    /// Part of the requests that were served while few may wait, of those whose callers did not leave.
    pub served: f64,
    /// Longest time in which a request was rejected.
    slowest_rejection: Duration,
    rejections: usize,
}

async fn start_routers(deployment: &Deployment) -> Vec<RelayDaemon> {
    let starting = (0..ROUTERS).map(|number| {
        let zone = ZONES[number % ZONES.len()];
        async move { deployment.start_in(&format!("entry-{number}"), zone).await }
    });
    let relays = join_all(starting).await;
    eventually("all routers are ready, and know all others", async || {
        for relay in &relays {
            if relay.status().relays < ROUTERS || !is_ready(relay).await {
                return false;
            }
        }
        true
    })
    .await;
    relays
}

async fn start_upstreams(
    deployment: &Deployment,
    times: BrittleTimes,
    play: &BrittlePlay,
) -> Vec<Arc<BrittleStandin>> {
    let starting = (0..UPSTREAMS).map(|number| {
        let zone = ZONES[number % ZONES.len()];
        let options = BrittleOptions {
            keeps_abandoned: play.keeps_abandoned,
            survived: play.survived,
            short_queue: play.short_queue,
            ..brittle_options(&format!("up-{number}"), zone, play.returns_as)
        };
        let plan = AnswerPlan::whole(play.run_time);
        BrittleStandin::start(&deployment.store, options, plan)
    });
    let upstreams = join_all(starting).await.into_iter();
    let upstreams: Vec<_> = upstreams.map(Result::unwrap).collect();
    for upstream in &upstreams {
        upstream.schedule(times);
    }
    upstreams
}

/// One request, and what its caller saw.
struct PlayedCall {
    sent_at: Instant,
    took: Duration,
    /// Absent if the caller left.
    response: Option<CollectedResponse>,
}

impl BrittlePlay {
    /// Plays it.
    pub async fn run(self) -> PlayResult {
        let mut deployment = Deployment::start().await;
        deployment.bounds.drain = Duration::from_secs(2);
        deployment.configure(1, &[rule("/letters/", RunKind::Idempotent)]);
        let relays = start_routers(&deployment).await;
        let begins = Instant::now();
        let says_so = begins + USUAL_TIME;
        let queues_few = says_so + CONTACT_TIME;
        let times = BrittleTimes {
            says_so,
            queues_few,
            ends: queues_few + BRITTLE_TIME,
        };
        let upstreams = start_upstreams(&deployment, times, &self).await;
        for upstream in upstreams.iter().take(self.crashes) {
            let upstream = Arc::clone(upstream);
            tokio::spawn(async move {
                sleep_until(queues_few + CRASH_DELAY).await;
                upstream.crash();
            });
        }
        let calls = self.send_until(&relays, begins, times.ends).await;
        let counted = calls.iter().filter(|call| call.sent_at >= queues_few);
        PlayResult::of(counted, &upstreams, says_so)
    }

    /// Sends requests through all routers in turn.
    async fn send_until(
        &self,
        relays: &[RelayDaemon],
        begins: Instant,
        ends: Instant,
    ) -> Vec<PlayedCall> {
        let mut calls = Vec::new();
        let mut ticks = interval_at(begins + Duration::from_secs(1), self.pause);
        for number in 0.. {
            let sent_at = ticks.tick().await;
            if sent_at >= ends {
                break;
            }
            let relay = &relays[number % ROUTERS];
            let request = request(relay, &format!("/letters/{number}"), &format!("a-{number}"));
            let patience = self
                .patience
                .filter(|_| number.is_multiple_of(self.leaves_one_in));
            calls.push(tokio::spawn(async move {
                let response = match patience {
                    Some(patience) => timeout(patience, call(request)).await.ok(),
                    None => Some(call(request).await),
                };
                PlayedCall {
                    sent_at,
                    took: sent_at.elapsed(),
                    response,
                }
            }));
        }
        let calls = join_all(calls).await.into_iter();
        calls.map(|call| call.unwrap()).collect()
    }
}

impl PlayResult {
    fn of<'a>(
        calls: impl Iterator<Item = &'a PlayedCall>,
        upstreams: &[Arc<BrittleStandin>],
        says_so: Instant,
    ) -> Self {
        let falls = upstreams.iter().flat_map(|upstream| upstream.falls());
        let mut fell_at: Vec<Duration> = falls.map(|at| at - says_so).collect();
        fell_at.sort();
        let rejections = upstreams.iter().map(|upstream| upstream.rejections().len());
        let mut result = Self {
            falls: fell_at.len(),
            fell_at,
            served: 0.0,
            slowest_rejection: Duration::ZERO,
            rejections: rejections.sum(),
        };
        let mut stayed = 0;
        for call in calls {
            let Some(response) = &call.response else {
                continue;
            };
            stayed += 1;
            match response.status {
                StatusCode::OK => result.served += 1.0,
                StatusCode::SERVICE_UNAVAILABLE => {
                    assert!(response.headers.contains_key(RETRY_AFTER));
                    result.slowest_rejection = result.slowest_rejection.max(call.took);
                }
                _ => {}
            }
        }
        result.served /= f64::from(stayed.max(1));
        result
    }
}
