//! Parts of prompts that crash each upstream which begins an answer on them, beside sound requests that share the key and
//! the first part.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::ruleset::RunKind;
use ferry_platform::headers::CallerHeaders;
use ferry_rig::{CrashingUpstream, fixture_headers};
use ferry_router::relay::RelayDaemon;
use ferry_standin::{ReplicaOptions, ReplicaPlan};
use tokio::task::JoinHandle;
use tokio::time::{Instant, interval, sleep};

use crate::deployment::{Deployment, SERVICE, call, eventually, request_with, rule};

/// Time after the fifth crash from which sends count.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of crashes after which the users' rules count sends.
const COUNTED_CRASHES: usize = 5;
/// Number of sends after that time that the users' rules allow.
const LATE_SENDS: usize = 3;
/// Share of the sound requests, all of which are served without crashes, that must be served.
const SERVED_SHARE: f64 = 0.5;
/// First part of all prompts.
const FIRST_PART: u64 = 0xa0;
/// Parts that crash upstreams.
const CRASHING_PARTS: [u64; 2] = [0xbad0, 0xbad1];
/// Number of the second parts that sound requests share.
const SUBJECTS: u64 = 60;
/// Pause between two sound requests.
const SOUND_PAUSE: Duration = Duration::from_millis(25);
/// Pause between two requests with a part that crashes upstreams.
const CRASHING_PAUSE: Duration = Duration::from_millis(125);
/// Time for which only sound requests are sent.
const CALM_TIME: Duration = Duration::from_secs(3);
/// Time for which requests are sent after the first crash.
const CRASHING_TIME: Duration = Duration::from_secs(12);
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const UPSTREAMS: u64 = 8;

/// A sound request: when it was sent, and whether it was served.
type SoundCall = (Instant, bool);

struct PartFleet {
    deployment: Deployment,
    relays: Vec<Arc<RelayDaemon>>,
    upstreams: Vec<CrashingUpstream>,
}

impl PartFleet {
    async fn start() -> Self {
        let deployment = Deployment::start().await;
        let chats = rule("/chats/", RunKind::ResumableStream);
        deployment.configure(1, &[chats]);
        let mut upstreams = Vec::new();
        for number in 0..UPSTREAMS {
            let options = ReplicaOptions {
                id: format!("up-{number}"),
                service: SERVICE.to_owned(),
                version: "v1".to_owned(),
                slots: 64,
            };
            let store = &deployment.store;
            let upstream = CrashingUpstream::start(store, options, &CRASHING_PARTS);
            let upstream = upstream.await.unwrap();
            upstream.standin.plan(ReplicaPlan {
                events: 6,
                gap: Duration::from_millis(50),
                ..ReplicaPlan::default()
            });
            tokio::spawn(upstream.clone().supervise());
            upstreams.push(upstream);
        }
        let mut fleet = Self {
            deployment,
            relays: Vec::new(),
            upstreams,
        };
        for number in 0..ZONES.len() {
            fleet.start_relay(number).await;
        }
        fleet
    }

    async fn start_relay(&mut self, number: usize) {
        let host = format!("entry-{number}");
        let zone = ZONES[number % ZONES.len()];
        let relay = self.deployment.relay_in(&host, zone).await;
        self.relays.push(Arc::new(relay));
        let count = self.relays.len();
        eventually("each router lists all", async || {
            let mut relays = self.relays.iter();
            relays.all(|relay| relay.status().relays == count)
        })
        .await;
    }

    /// Sends sound requests to all relays for `time`.
    fn send_sound(&self, tag: &'static str, time: Duration) -> JoinHandle<Vec<SoundCall>> {
        let relays = self.relays.clone();
        tokio::spawn(async move {
            let start = Instant::now();
            let mut ticks = interval(SOUND_PAUSE);
            let mut calls = Vec::new();
            for number in 0.. {
                ticks.tick().await;
                if start.elapsed() > time {
                    break;
                }
                let relay = Arc::clone(&relays[number % relays.len()]);
                let subject = 0x1000 + number as u64 % SUBJECTS;
                let id = format!("{tag}-{number}");
                calls.push(tokio::spawn(async move {
                    let sent = Instant::now();
                    (sent, is_served(&relay, &id, subject).await)
                }));
            }
            let mut served = Vec::new();
            for call in calls {
                served.push(call.await.unwrap());
            }
            served
        })
    }

    /// Sends requests with the crashing parts to all relays for `time`.
    fn send_crashing(
        &self,
        tag: &'static str,
        parts: &'static [u64],
        time: Duration,
    ) -> JoinHandle<()> {
        let relays = self.relays.clone();
        tokio::spawn(async move {
            let start = Instant::now();
            let mut ticks = interval(CRASHING_PAUSE);
            for number in 0.. {
                ticks.tick().await;
                if start.elapsed() > time {
                    break;
                }
                let relay = Arc::clone(&relays[number % relays.len()]);
                let part = parts[number % parts.len()];
                let id = format!("{tag}-{number}");
                tokio::spawn(async move { is_served(&relay, &id, part).await });
            }
        })
    }

    /// Times at which requests with `part` reached an upstream that ran them, in order.
    fn arrivals(&self, part: u64) -> Vec<Instant> {
        let runs = self.upstreams.iter();
        let runs = runs.flat_map(CrashingUpstream::crashing_runs);
        let runs = runs.filter(|run| run.request.prompt.shareable_parts().any(|id| id == part));
        let mut times: Vec<Instant> = runs.map(|run| run.at).collect();
        times.sort();
        times
    }

    /// Checks that no more requests with `part` than allowed reached upstreams, and returns the time of its fifth crash.
    fn assert_contained(&self, part: u64) -> Instant {
        let arrivals = self.arrivals(part);
        assert!(arrivals.len() >= COUNTED_CRASHES, "{}", arrivals.len());
        let fifth = arrivals[COUNTED_CRASHES - 1];
        let late = arrivals.iter().filter(|at| **at > fifth + CONTACT_TIME);
        let late = late.count();
        assert!(
            late <= LATE_SENDS,
            "{late} of {} requests with the part {part:x} reached upstreams late",
            arrivals.len()
        );
        fifth
    }
}

/// Sends a request whose path, body and last part no other request has; returns whether it is answered completely.
async fn is_served(relay: &RelayDaemon, id: &str, second_part: u64) -> bool {
    let own_part = 0xffff_0000 + rand::random::<u32>() as u64;
    let parts = [FIRST_PART, second_part, own_part];
    let headers = CallerHeaders {
        parts: &parts,
        ..fixture_headers(id)
    };
    let mut request = request_with(relay, &format!("/chats/{id}"), &headers);
    request.body = format!("letter {id}").into();
    let answer = call(request).await;
    answer.status.is_success() && answer.body.is_some()
}

/// Share of the calls after `start` that were served.
fn served_share(calls: &[SoundCall], start: Instant) -> f64 {
    let calls: Vec<_> = calls.iter().filter(|(sent, _)| *sent >= start).collect();
    let served = calls.iter().filter(|(_, served)| *served).count();
    served as f64 / calls.len() as f64
}

/// Sends sound requests alone for `calm_time`, then beside requests with `parts`; checks that they are contained and that sound requests are served.
async fn assert_parts_are_contained(parts: &'static [u64], calm_time: Duration) {
    let fleet = PartFleet::start().await;
    let sound = fleet.send_sound("sound", calm_time + CRASHING_TIME);
    sleep(calm_time).await;
    fleet
        .send_crashing("bad", parts, CRASHING_TIME)
        .await
        .unwrap();
    let sound = sound.await.unwrap();
    let fifth = parts.iter().map(|part| fleet.assert_contained(*part));
    let fifth = fifth.max().unwrap();
    let served = served_share(&sound, fifth + CONTACT_TIME * 2);
    println!("share of the sound requests served: {served:.3}");
    assert!(served >= SERVED_SHARE, "{served} served");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_crashes_upstreams_is_contained_and_sound_requests_are_served() {
    assert_parts_are_contained(&CRASHING_PARTS[..1], CALM_TIME).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_parts_that_crash_upstreams_at_the_same_time_are_contained() {
    assert_parts_are_contained(&CRASHING_PARTS, CALM_TIME).await;
}

/// No part has been answered when the crashes begin.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_crashes_upstreams_from_the_start_is_contained() {
    assert_parts_are_contained(&CRASHING_PARTS[..1], Duration::ZERO).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_starts_after_the_crashes_sends_no_request_with_the_part() {
    let mut fleet = PartFleet::start().await;
    let part = CRASHING_PARTS[0];
    let crashing = fleet.send_crashing("bad", &CRASHING_PARTS[..1], Duration::from_secs(2));
    crashing.await.unwrap();
    sleep(CONTACT_TIME).await;
    let before = fleet.arrivals(part).len();
    fleet.start_relay(3).await;
    let newest = fleet.relays.pop().unwrap();
    fleet.relays = vec![newest];
    let crashing = fleet.send_crashing("new", &CRASHING_PARTS[..1], Duration::from_secs(2));
    crashing.await.unwrap();
    sleep(Duration::from_secs(1)).await;
    let late = fleet.arrivals(part).len() - before;
    assert!(late <= LATE_SENDS, "{late} requests reached upstreams late");
}

/// Guards against guilt by company: upstreams that fail for a reason of their own say nothing of the parts on them.
#[tokio::test(flavor = "multi_thread")]
async fn upstreams_that_fail_together_accuse_no_part() {
    let fleet = PartFleet::start().await;
    let sound = fleet.send_sound("sound", CALM_TIME + Duration::from_secs(8));
    sleep(CALM_TIME).await;
    for upstream in &fleet.upstreams[..5] {
        let upstream = upstream.clone();
        tokio::spawn(async move { upstream.crash().await });
        sleep(Duration::from_millis(200)).await;
    }
    let failed_at = Instant::now();
    let sound = sound.await.unwrap();
    let after = served_share(&sound, failed_at + CONTACT_TIME);
    assert!(
        (after - 1.0).abs() < f64::EPSILON,
        "{after} served afterwards"
    );
    let parts: BTreeSet<u64> = CRASHING_PARTS.into_iter().collect();
    assert!(parts.iter().all(|part| fleet.arrivals(*part).is_empty()));
}
