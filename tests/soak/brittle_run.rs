//! Relays before upstreams that break down when they have to reject too many requests in a second, and the bound on these break downs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::ruleset::RunKind;
use ferry_kernel::http::{HttpClient, HttpRequest, collect_limited};
use ferry_platform::headers::CallerHeaders;
use ferry_rig::{RelayFixture, SERVICE, fixture_headers, fixture_request, fixture_rule};
use ferry_standin::brittle::{AnswerPlan, BrittleOptions, BrittleStandin, BrittleTimes, Rejection};
use ferry_standin::faults::{FaultOrder, OutageAnswer, OutageOrder};
use futures::future::join_all;
use hyper::StatusCode;
use hyper::header::RETRY_AFTER;
use parking_lot::Mutex;
use tempfile::TempDir;
use tokio::time::{Instant, interval_at, sleep, sleep_until, timeout};

use crate::brittle_plan::{
    BrittleFault, BrittlePlan, BrittleSeries, LOAD_END, QUEUES_FEW_AT, SAYS_SO_AT,
};
use crate::soak_relay::{SoakRelay, keep_logs, keeps_all_logs};

/// Availability zone of all relays and upstreams.
const ZONE: &str = "cluj-sala-a";
/// Path prefix of the requests.
const PREFIX: &str = "/notes/";
/// Deadline of the callers.
const DEADLINE: Duration = Duration::from_secs(4);
/// Time within which all relays must be ready at the start, and the pause between two checks.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
const READY_PAUSE: Duration = Duration::from_millis(100);
/// Time for which a relay is excused after a disturbance.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time between a break down and the return.
const AWAY_TIME: Duration = Duration::from_secs(3);
/// Requests that may wait before few may.
const LONG_QUEUE: u32 = 24;
/// Break downs that are allowed, beside one in ten upstreams.
const ALLOWED_FALLS: usize = 2;
/// Span in which an upstream counts its rejections.
const SPAN: Duration = Duration::from_secs(1);
/// Timeout of a query for metrics.
const METRICS_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Processes and stand-ins of one run.
struct BrittleFleet {
    fixture: RelayFixture,
    /// Relays by number; some are added during the run.
    relays: Mutex<Vec<Arc<SoakRelay>>>,
    upstreams: Vec<Arc<BrittleStandin>>,
    /// Disturbances of relays so far: number, begin and end.
    disturbances: Mutex<Vec<(usize, Instant, Instant)>>,
    folder: TempDir,
}

/// Requests of callers by outcome.
#[derive(Debug, Default, Clone, Copy)]
struct CallCounts {
    all: usize,
    served: usize,
    rejected: usize,
    failed: usize,
    left: usize,
}

/// Runs one seed; returns the violated bounds.
pub async fn run_brittle_seed(seed: u64) -> Vec<String> {
    let plan = Arc::new(BrittlePlan::from_seed(seed));
    let fleet = Arc::new(BrittleFleet::start(&plan).await);
    let begins = fleet.begin();
    let sending = tokio::spawn(send_requests(Arc::clone(&fleet), Arc::clone(&plan), begins));
    let faults = tokio::spawn(inject_all(Arc::clone(&fleet), Arc::clone(&plan), begins));
    let counts = sending.await.unwrap();
    let mut violations = Vec::new();
    if let Err(error) = faults.await {
        violations.push(format!("a fault panicked: {error}"));
    }
    let falls: usize = fleet.upstreams.iter().map(|one| one.falls().len()).sum();
    let counted = fleet.counted_falls(plan.survived, begins);
    let allowed = ALLOWED_FALLS + plan.upstreams / 10;
    if counted > allowed {
        violations.push(format!(
            "brittle upstreams broke down {counted} times, {allowed} allowed"
        ));
    }
    let rejections: usize = fleet
        .upstreams
        .iter()
        .map(|one| one.rejections().len())
        .sum();
    println!(
        "brittle seed {seed}: {falls} break downs, {counted} of them counted, {rejections} rejections by upstreams, {counts:?}, {plan:?}"
    );
    if !violations.is_empty() || keeps_all_logs() {
        fleet.write_metrics().await;
        keep_logs(&format!("brittle-{seed}"), fleet.folder.path());
    }
    violations
}

impl BrittleFleet {
    async fn start(plan: &BrittlePlan) -> Self {
        let fixture = RelayFixture::start().await.unwrap();
        let run = match plan.answer.events {
            0 => RunKind::Idempotent,
            _ => RunKind::ResumableStream,
        };
        let mut rule = fixture_rule(PREFIX, run);
        rule.event_gap = run.is_stream().then_some(Duration::from_millis(300));
        fixture.configure(1, &[rule]);
        let mut upstreams = Vec::new();
        for number in 0..plan.upstreams {
            let options = upstream_options(plan, number);
            let upstream = BrittleStandin::start(&fixture.store, options, plan.answer).await;
            upstreams.push(upstream.unwrap());
        }
        let fleet = Self {
            fixture,
            relays: Mutex::default(),
            upstreams,
            disturbances: Mutex::default(),
            folder: tempfile::tempdir().unwrap(),
        };
        for _ in 0..plan.relays {
            fleet.add_relay().await;
        }
        fleet.wait_until_ready().await;
        fleet
    }

    /// Sets when upstreams are brittle; returns when the load begins.
    fn begin(&self) -> Instant {
        let begins = Instant::now();
        let times = BrittleTimes {
            says_so: begins + SAYS_SO_AT,
            queues_few: begins + QUEUES_FEW_AT,
            ends: begins + LOAD_END,
        };
        for upstream in &self.upstreams {
            upstream.schedule(times);
        }
        begins
    }

    async fn add_relay(&self) {
        let number = self.relays.lock().len();
        let relay = SoakRelay::start(number, &self.fixture, self.folder.path()).await;
        self.relays.lock().push(Arc::new(relay));
    }

    async fn wait_until_ready(&self) {
        let until = Instant::now() + READY_TIMEOUT;
        loop {
            let unready = self.unready().await;
            if unready.is_empty() {
                return;
            }
            if Instant::now() >= until {
                keep_logs("brittle-start", self.folder.path());
                panic!("relays are not ready after {READY_TIMEOUT:?}: {unready:?}");
            }
            sleep(READY_PAUSE).await;
        }
    }

    /// Numbers of the relays that are not ready.
    async fn unready(&self) -> Vec<usize> {
        let relays = self.relays.lock().clone();
        let probes = relays
            .iter()
            .map(|relay| async { relay.process.lock().await.is_ready().await });
        let ready = join_all(probes).await.into_iter().enumerate();
        let unready = ready.filter(|(_, ready)| !ready);
        unready.map(|(number, _)| number).collect()
    }

    /// Writes the metrics of all relays beside their logs.
    async fn write_metrics(&self) {
        let relays = self.relays.lock().clone();
        let client = HttpClient::default();
        for (number, relay) in relays.iter().enumerate() {
            let address = relay.process.lock().await.metrics();
            let request = HttpRequest::get(&format!("http://{address}/metrics"));
            let file = self.folder.path().join(format!("edge-{number}.metrics"));
            if let Ok(text) = client.fetch(request, METRICS_TIMEOUT).await {
                std::fs::write(file, text).unwrap();
            }
        }
    }

    /// Number and address of the relay that the number `number` stands for; the numbers go round.
    fn relay_address(&self, number: usize) -> (usize, SocketAddr) {
        let relays = self.relays.lock();
        let index = number % relays.len();
        (index, relays[index].callers)
    }

    fn relay(&self, number: usize) -> (usize, Arc<SoakRelay>) {
        let relays = self.relays.lock();
        let index = number % relays.len();
        (index, Arc::clone(&relays[index]))
    }

    /// Injects the faults of `series` in turn; those that last overlap.
    async fn inject(&self, series: BrittleSeries, begins: Instant) {
        sleep_until(begins + series.at).await;
        let faults = (0..series.count).map(|turn| async move {
            sleep(series.gap * turn as u32).await;
            if begins.elapsed() >= LOAD_END {
                return;
            }
            let (number, relay) = self.relay(series.first + turn);
            let begin = Instant::now();
            // Open until it has ended, so that requests of the relay are excused all the while.
            let index = self.begin_disturbance(number, begin);
            inject(&relay, series.fault).await;
            self.disturbances.lock()[index].2 = Instant::now() + CONTACT_TIME;
        });
        join_all(faults).await;
    }

    fn begin_disturbance(&self, relay: usize, begin: Instant) -> usize {
        let mut disturbances = self.disturbances.lock();
        disturbances.push((relay, begin, begin + LOAD_END * 2));
        disturbances.len() - 1
    }

    fn is_disturbed(&self, relay: usize, at: Instant) -> bool {
        let disturbances = self.disturbances.lock();
        disturbances
            .iter()
            .any(|(number, begin, end)| *number == relay && (*begin..*end).contains(&at))
    }

    /// Break downs by rejections of requests of relays that were not disturbed.
    fn counted_falls(&self, survived: u32, begins: Instant) -> usize {
        let endangered = begins + QUEUES_FEW_AT..begins + LOAD_END;
        let counted = self.upstreams.iter().map(|upstream| {
            let rejections = upstream.rejections().into_iter();
            let counted = rejections.filter(|rejection| {
                endangered.contains(&rejection.at)
                    && !self.is_disturbed(relay_of(rejection), rejection.at)
            });
            break_downs(counted.map(|rejection| rejection.at), survived)
        });
        counted.sum()
    }
}

fn upstream_options(plan: &BrittlePlan, number: usize) -> BrittleOptions {
    BrittleOptions {
        id: format!("up-{number}"),
        service: SERVICE.to_owned(),
        zone: ZONE.to_owned(),
        slots: plan.slots,
        long_queue: LONG_QUEUE,
        short_queue: plan.queue,
        survived: plan.survived,
        away_time: AWAY_TIME,
        returns_as: plan.returns_as,
        keeps_abandoned: plan.keeps_abandoned,
    }
}

async fn inject(relay: &SoakRelay, fault: BrittleFault) {
    match fault {
        BrittleFault::Kill => {
            let mut process = relay.process.lock().await;
            process.kill().await;
            process.restart().unwrap();
        }
        BrittleFault::Stop => relay.stop().await,
        BrittleFault::Freeze(duration) => relay.freeze(duration).await,
        BrittleFault::CutStore(duration) => relay.cut_store(duration).await,
    }
}

async fn inject_all(fleet: Arc<BrittleFleet>, plan: Arc<BrittlePlan>, begins: Instant) {
    let series = plan
        .series
        .iter()
        .map(|series| fleet.inject(*series, begins));
    let crashes = plan.crashes.iter().enumerate().map(async |(number, at)| {
        sleep_until(begins + *at).await;
        fleet.upstreams[number].crash();
    });
    let additions = plan.additions.iter().map(async |at| {
        sleep_until(begins + *at).await;
        let number = fleet.relays.lock().len();
        let begin = Instant::now();
        fleet
            .disturbances
            .lock()
            .push((number, begin, begin + CONTACT_TIME));
        fleet.add_relay().await;
    });
    let outage = async {
        if let Some((at, duration)) = plan.outage {
            sleep_until(begins + at).await;
            let order = OutageOrder {
                answer: OutageAnswer::Unavailable,
                path: String::new(),
            };
            fleet.fixture.store.set_faults(FaultOrder {
                outage: Some(order),
                ..FaultOrder::default()
            });
            sleep(duration).await;
            fleet.fixture.store.set_faults(FaultOrder::default());
        }
    };
    let slowing = async {
        if let Some(slow) = plan.slow {
            sleep_until(begins + slow.at).await;
            let slowed = AnswerPlan {
                run_time: plan.answer.run_time * slow.factor,
                gap: plan.answer.gap * slow.factor,
                ..plan.answer
            };
            fleet.upstreams.iter().for_each(|one| one.plan(slowed));
            sleep(slow.duration).await;
            fleet.upstreams.iter().for_each(|one| one.plan(plan.answer));
        }
    };
    let additions = async {
        for addition in additions {
            addition.await;
        }
    };
    tokio::join!(
        join_all(series),
        join_all(crashes),
        additions,
        outage,
        slowing
    );
}

/// Sends requests at a steady rate, and counts what became of those that were sent while upstreams were endangered.
async fn send_requests(
    fleet: Arc<BrittleFleet>,
    plan: Arc<BrittlePlan>,
    begins: Instant,
) -> CallCounts {
    let per_second = plan.load * plan.upstreams as f64 * f64::from(plan.slots)
        / plan.answer.slot_time().as_secs_f64();
    let mut ticks = interval_at(begins, Duration::from_secs_f64(1.0 / per_second));
    let client = HttpClient::default();
    let mut calls = Vec::new();
    for number in 0.. {
        let sent_at = ticks.tick().await;
        if sent_at >= begins + LOAD_END {
            break;
        }
        let leaves = plan
            .leaving
            .filter(|leaving| number % leaving.one_in == 0)
            .map(|leaving| leaving.patience);
        let (fleet, client) = (Arc::clone(&fleet), client.clone());
        calls.push(tokio::spawn(async move {
            let calling = call_twice(&fleet, &client, number);
            let outcome = match leaves {
                Some(patience) => timeout(patience, calling).await.ok(),
                None => Some(calling.await),
            };
            (sent_at, outcome)
        }));
    }
    let mut counts = CallCounts::default();
    for call in calls {
        let (sent_at, outcome) = call.await.unwrap();
        if sent_at < begins + QUEUES_FEW_AT {
            continue;
        }
        counts.all += 1;
        match outcome {
            None => counts.left += 1,
            Some(Some(StatusCode::OK)) => counts.served += 1,
            Some(Some(StatusCode::SERVICE_UNAVAILABLE)) => counts.rejected += 1,
            Some(_) => counts.failed += 1,
        }
    }
    counts
}

/// Sends the request `number`, and once more through the next relay when it is told when to come back.
async fn call_twice(
    fleet: &BrittleFleet,
    client: &HttpClient,
    number: usize,
) -> Option<StatusCode> {
    let sent = Instant::now();
    let (status, wait) = call(fleet, client, number, "first").await?;
    let wait = wait.filter(|wait| sent.elapsed() + *wait < DEADLINE / 3);
    let (StatusCode::SERVICE_UNAVAILABLE, Some(wait)) = (status, wait) else {
        return Some(status);
    };
    sleep(wait).await;
    let (status, _) = call(fleet, client, number + 1, "again").await?;
    Some(status)
}

/// Sends one request; returns its status and when to come back, or nothing if it was not answered whole.
async fn call(
    fleet: &BrittleFleet,
    client: &HttpClient,
    number: usize,
    turn: &str,
) -> Option<(StatusCode, Option<Duration>)> {
    let (relay, address) = fleet.relay_address(number);
    let id = format!("{relay}-{number}-{turn}");
    let headers = CallerHeaders {
        deadline: Some(DEADLINE),
        ..fixture_headers(&id)
    };
    let request = fixture_request(address, &format!("{PREFIX}{number}"), &headers);
    let answer = client.send(request, DEADLINE).await.ok()?;
    let status = answer.status();
    let wait = answer.headers().get(RETRY_AFTER);
    let wait = wait.and_then(|wait| wait.to_str().ok()?.parse().ok());
    let body = collect_limited(answer.into_body(), MAX_ANSWER_BYTES);
    timeout(DEADLINE, body).await.ok()?.ok()?;
    Some((status, wait.map(Duration::from_secs_f64)))
}

/// Relay that sent a rejected request.
fn relay_of(rejection: &Rejection) -> usize {
    let (relay, _) = rejection.attempt_id.split_once('-').unwrap();
    relay.parse().unwrap()
}

/// Number of times at which more than `survived` rejections had come within a second.
fn break_downs(rejections: impl Iterator<Item = Instant>, survived: u32) -> usize {
    let mut recent: Vec<Instant> = Vec::new();
    let mut break_downs = 0;
    for at in rejections {
        recent.retain(|earlier| at - *earlier < SPAN);
        recent.push(at);
        if recent.len() > survived as usize {
            break_downs += 1;
            recent.clear();
        }
    }
    break_downs
}
