//! Relays before upstreams under strain, and the bounds on what reaches these: repeated sends, upstreams for one
//! request, the time that is handed on, and requests in a pause that an upstream asked for.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ferry_decisions::ruleset::RunKind;
use ferry_kernel::http::HttpClient;
use ferry_rig::{RelayFixture, eventually, fixture_rule};
use ferry_standin::{ReplicaPlan, ReplicaStandin};
use futures::future::join_all;
use hyper::StatusCode;
use parking_lot::Mutex;
use tempfile::TempDir;
use tokio::time::{Instant, sleep, sleep_until};

use crate::budget_check::{BudgetRecord, Disturbance, SentRequest};
use crate::budget_plan::{
    BudgetPlan, FaultSeries, RelayFault, ReplicaStrain, STRAIN_END, STRAINED_REPLICAS, StrainPhase,
};
use crate::caller_load::call;
use crate::soak_relay::{SoakRelay, keep_logs};

/// Path prefixes of the requests, each with the kind of run that its rule sets.
const PATHS: [(&str, RunKind); 4] = [
    ("/notes/7", RunKind::Idempotent),
    ("/files/7", RunKind::Idempotent),
    ("/letters/7", RunKind::Once),
    ("/lists/7", RunKind::Idempotent),
];
/// Timeout of the rules.
const RULE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time that an upstream that answers as it should takes.
const ANSWER_TIME: Duration = Duration::from_millis(5);
/// Time that a hanging upstream takes.
const HANG_TIME: Duration = Duration::from_secs(6);
/// Time for which the load continues after the strain.
const LOAD_AFTER_STRAIN: Duration = Duration::from_secs(2);

/// Processes and stand-ins of one run.
struct BudgetFleet {
    fixture: RelayFixture,
    /// Relays by number; some are added during the run.
    relays: Mutex<Vec<Arc<SoakRelay>>>,
    replicas: Vec<ReplicaStandin>,
    /// Faults of relays so far.
    disturbances: Mutex<Vec<Disturbance>>,
    folder: TempDir,
}

/// Runs one seed; returns the violated bounds.
pub async fn run_budget_seed(seed: u64) -> Vec<String> {
    let plan = BudgetPlan::from_seed(seed);
    let fleet = Arc::new(BudgetFleet::start(plan.relays).await);
    let (stop, start) = (Arc::new(AtomicBool::new(false)), Instant::now());
    let callers = (0..plan.callers).map(|number| {
        let (fleet, stop) = (Arc::clone(&fleet), Arc::clone(&stop));
        tokio::spawn(call_until(fleet, number, plan.pause, stop))
    });
    let callers: Vec<_> = callers.collect();
    let series = plan.series.iter().map(|series| {
        let (fleet, series) = (Arc::clone(&fleet), *series);
        tokio::spawn(async move { fleet.inject(series, start).await })
    });
    let additions = plan.additions.iter().map(|at| {
        let (fleet, at) = (Arc::clone(&fleet), start + *at);
        tokio::spawn(async move {
            sleep_until(at).await;
            fleet.add_relay().await;
        })
    });
    let faults: Vec<_> = series.chain(additions).collect();
    for phase in &plan.strain {
        sleep_until(start + phase.at).await;
        fleet.strain(phase);
    }
    sleep_until(start + STRAIN_END).await;
    fleet
        .replicas
        .iter()
        .for_each(|replica| replica.plan(replica_plan(ReplicaStrain::None)));
    let mut violations: Vec<String> = join_all(faults)
        .await
        .into_iter()
        .filter_map(|result| {
            result
                .err()
                .map(|error| format!("a fault panicked: {error}"))
        })
        .collect();
    sleep(LOAD_AFTER_STRAIN).await;
    stop.store(true, Ordering::Release);
    let mut sent = Vec::new();
    for caller in callers {
        sent.extend(caller.await.unwrap());
    }
    let runs: Vec<_> = fleet.replicas.iter().map(ReplicaStandin::runs).collect();
    let disturbances = fleet.disturbances.lock().clone();
    let record = BudgetRecord {
        sent: &sent,
        runs: &runs,
        disturbances: &disturbances,
    };
    violations.extend(record.violations());
    let served = sent.iter().filter(|request| request.is_served).count();
    println!(
        "budget seed {seed}: {served} of {} requests served, {}, {} bounds violated, {plan:?}",
        sent.len(),
        record.summary(),
        violations.len(),
    );
    if !violations.is_empty() {
        keep_logs(&format!("budget-{seed}"), fleet.folder.path());
    }
    violations
}

/// Sends requests to one relay until one is not served, then to the next, until `stop` is set.
async fn call_until(
    fleet: Arc<BudgetFleet>,
    number: usize,
    pause: Duration,
    stop: Arc<AtomicBool>,
) -> Vec<SentRequest> {
    let client = HttpClient::default();
    let (mut sent, mut relay) = (Vec::new(), number);
    while !stop.load(Ordering::Acquire) {
        let count = sent.len();
        let (path, run) = PATHS[count % PATHS.len()];
        let (index, address) = fleet.relay_address(relay);
        let id = format!("b{number}-{count}");
        let record = call(&client, address, path, run, id, false).await;
        let request = SentRequest::new(&record, index);
        if !request.is_served {
            relay += 1;
        }
        sent.push(request);
        sleep(pause).await;
    }
    sent
}

impl BudgetFleet {
    async fn start(count: usize) -> Self {
        let fixture = RelayFixture::start().await.unwrap();
        let rules = PATHS.map(|(path, run)| {
            let prefix = path.trim_end_matches('7');
            let mut rule = fixture_rule(prefix, run);
            rule.timeout = RULE_TIMEOUT;
            rule
        });
        fixture.configure(1, &rules);
        let mut replicas = Vec::new();
        for number in 0..STRAINED_REPLICAS {
            let replica = fixture.start_replica(&format!("up-{number}"), "v1").await;
            replicas.push(replica.unwrap());
        }
        let fleet = Self {
            fixture,
            relays: Mutex::default(),
            replicas,
            disturbances: Mutex::default(),
            folder: tempfile::tempdir().unwrap(),
        };
        fleet
            .replicas
            .iter()
            .for_each(|replica| replica.plan(replica_plan(ReplicaStrain::None)));
        for _ in 0..count {
            fleet.add_relay().await;
        }
        let ready = || async { fleet.is_ready().await.then_some(()) };
        eventually("all relays are ready", ready).await;
        fleet
    }

    async fn add_relay(&self) {
        let number = self.relays.lock().len();
        let relay = SoakRelay::start(number, &self.fixture, self.folder.path()).await;
        self.relays.lock().push(Arc::new(relay));
    }

    async fn is_ready(&self) -> bool {
        let relays = self.relays.lock().clone();
        let probes = relays
            .iter()
            .map(|relay| async { relay.process.lock().await.is_ready().await });
        join_all(probes).await.into_iter().all(|ready| ready)
    }

    /// Index and address of the relay that the number `number` stands for; the numbers go round.
    fn relay_address(&self, number: usize) -> (usize, SocketAddr) {
        let relays = self.relays.lock();
        let index = number % relays.len();
        (index, relays[index].callers)
    }

    fn strain(&self, phase: &StrainPhase) {
        for (number, replica) in self.replicas.iter().enumerate() {
            let strain = match number < phase.replicas {
                true => phase.strain,
                false => ReplicaStrain::None,
            };
            replica.plan(replica_plan(strain));
        }
    }

    /// Injects the faults of `series` in turn; those that last overlap.
    async fn inject(&self, series: FaultSeries, start: Instant) {
        sleep_until(start + series.at).await;
        let faults = (0..series.count).map(|turn| async move {
            sleep(series.gap * turn as u32).await;
            if start.elapsed() < STRAIN_END {
                let relays = self.relays.lock().clone();
                let (relay, begin) = (turn % relays.len(), Instant::now());
                relays[relay].inject(series.fault).await;
                self.disturbances.lock().push(Disturbance {
                    relay,
                    begin,
                    end: Instant::now(),
                });
            }
        });
        join_all(faults).await;
    }
}

impl SoakRelay {
    async fn inject(&self, fault: RelayFault) {
        match fault {
            RelayFault::Kill => {
                let mut process = self.process.lock().await;
                process.kill().await;
                process.restart().unwrap();
            }
            RelayFault::Stop => self.stop().await,
            RelayFault::Freeze(duration) => self.freeze(duration).await,
            RelayFault::CutStore(duration) => self.cut_store(duration).await,
        }
    }
}

fn replica_plan(strain: ReplicaStrain) -> ReplicaPlan {
    let healthy = ReplicaPlan {
        wait: ANSWER_TIME,
        ..ReplicaPlan::default()
    };
    match strain {
        ReplicaStrain::None => healthy,
        ReplicaStrain::Rejects => ReplicaPlan {
            full: true,
            ..healthy
        },
        ReplicaStrain::AsksForPause(pause) => ReplicaPlan {
            full: true,
            pause: Some(pause),
            ..healthy
        },
        ReplicaStrain::Fails => ReplicaPlan {
            status: StatusCode::INTERNAL_SERVER_ERROR,
            ..healthy
        },
        ReplicaStrain::BreaksOff => ReplicaPlan {
            break_after: Some(0),
            ..healthy
        },
        ReplicaStrain::Hangs => ReplicaPlan {
            wait: HANG_TIME,
            ..healthy
        },
    }
}
