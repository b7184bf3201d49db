//! The processes and stand-ins of one run, and the faults that are put on them.

use std::path::Path;
use std::time::Duration;

use ferry_decisions::registry::UpstreamStage;
use ferry_decisions::ruleset::{KeyHolder, RouteRule, RunKind};
use ferry_decisions::time::UnixMillis;
use ferry_platform::entries::encode_upstream;
use ferry_platform::store::{OPERATOR_TOPIC, UPSTREAM_TOPIC};
use ferry_rig::{KEY, LinkRelay, RelayProcess, RelayScene, SERVICE, WORKSPACE, scene_rule};
use ferry_standin::faults::{AnswerLoss, FaultOrder, OutageAnswer, OutageOrder, SlowOrder};
use ferry_standin::{ReplicaOptions, ReplicaPlan, ReplicaStandin};
use hyper::StatusCode;
use parking_lot::Mutex;
use tempfile::TempDir;
use tokio::time::sleep;

use crate::fault_plan::{RELAYS, REPLICAS, ReplicaTrouble, SoakFault, StoreTrouble, TimedFault};

/// Key that is taken away during a run.
pub const LOST_KEY: &str = "key-2";
/// Workspace of that key.
const LOST_WORKSPACE: &str = "former";
/// Events of a stream.
pub const EVENTS: u64 = 8;
/// Pause between them.
const EVENT_GAP: Duration = Duration::from_millis(60);
/// Upstreams that answer whole.
const WHOLE_REPLICAS: usize = 2;
/// Service of the upstreams that answer with events.
const STREAM_SERVICE: &str = "chat";
/// Time for which a leaving upstream serves on.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// Signal for a graceful stop.
const SIGTERM: i32 = 15;
/// Signal for reading the settings again.
const SIGHUP: i32 = 1;
/// Signal that suspends a process.
const SIGSTOP: i32 = 19;
/// Signal that lets it go on.
const SIGCONT: i32 = 18;
const SAMPLE: &str = include_str!("../../platform/tests/samples/host.toml");

/// One relay, with its way to the store.
pub struct SoakRelay {
    /// The process; held while a fault works on it.
    pub process: tokio::sync::Mutex<RelayProcess>,
    store_link: LinkRelay,
}

/// One upstream, with the way to it.
pub struct SoakReplica {
    /// The upstream.
    pub standin: ReplicaStandin,
    link: LinkRelay,
    usual: ReplicaPlan,
    life: Mutex<ReplicaLife>,
}

/// What an upstream says of its present life.
#[derive(Debug, Default, Clone, Copy)]
struct ReplicaLife {
    born: u64,
    sequence: u64,
}

/// Everything that runs.
pub struct SoakFleet {
    scene: RelayScene,
    /// The relays.
    pub relays: Vec<SoakRelay>,
    /// The upstreams.
    pub replicas: Vec<SoakReplica>,
    /// Their files.
    pub folder: TempDir,
    revision: Mutex<u64>,
    /// Whether the second key was taken away.
    key_is_lost: Mutex<bool>,
}

impl SoakFleet {
    /// Starts everything, without waiting for it.
    pub async fn start() -> Self {
        let scene = RelayScene::start().await.unwrap();
        let folder = tempfile::tempdir().unwrap();
        let mut replicas = Vec::new();
        for number in 0..REPLICAS {
            replicas.push(SoakReplica::start(number).await);
        }
        let mut relays = Vec::new();
        for number in 0..RELAYS {
            relays.push(SoakRelay::start(number, &scene, folder.path()).await);
        }
        let fleet = Self {
            scene,
            relays,
            replicas,
            folder,
            revision: Mutex::new(0),
            key_is_lost: Mutex::new(false),
        };
        fleet.configure();
        for replica in &fleet.replicas {
            fleet.announce(replica, UpstreamStage::Ready);
        }
        fleet
    }

    /// Whether all relays are ready.
    pub async fn is_ready(&self) -> bool {
        for relay in &self.relays {
            if !relay.process.lock().await.is_ready().await {
                return false;
            }
        }
        true
    }

    /// Takes the second key away.
    pub fn revoke(&self) {
        *self.key_is_lost.lock() = true;
        self.configure();
    }

    /// Puts one fault on and lifts it after its time.
    pub async fn suffer(&self, timed: TimedFault) {
        match timed.fault {
            SoakFault::StopRelay(number) => self.relays[number].stop().await,
            SoakFault::ReloadRelay(number) => {
                let mut process = self.relays[number].process.lock().await;
                process.until_handles(SIGHUP).await;
                process.signal(SIGHUP);
            }
            SoakFault::KillRelay(number) => {
                let mut process = self.relays[number].process.lock().await;
                process.kill().await;
                sleep(timed.lasts).await;
                process.restart().unwrap();
            }
            SoakFault::FreezeRelay(number) => {
                let mut process = self.relays[number].process.lock().await;
                process.signal(SIGSTOP);
                sleep(timed.lasts).await;
                process.signal(SIGCONT);
            }
            SoakFault::CutStore(number) => cut(&self.relays[number].store_link, timed.lasts).await,
            SoakFault::StallStore(number) => {
                stall(&self.relays[number].store_link, timed.lasts).await;
            }
            SoakFault::StoreOut(trouble) => {
                self.scene.store.set_faults(store_faults(trouble));
                sleep(timed.lasts).await;
                self.scene.store.set_faults(FaultOrder::default());
            }
            SoakFault::CompactStore => {
                self.scene.store.compact(OPERATOR_TOPIC);
                self.scene.store.compact(UPSTREAM_TOPIC);
            }
            SoakFault::CutReplica(number) => cut(&self.replicas[number].link, timed.lasts).await,
            SoakFault::StallReplica(number) => {
                stall(&self.replicas[number].link, timed.lasts).await;
            }
            SoakFault::SpoilReplica(number, trouble) => {
                let replica = &self.replicas[number];
                replica.standin.plan(spoiled(&replica.usual, trouble));
                sleep(timed.lasts).await;
                replica.standin.plan(replica.usual.clone());
            }
            SoakFault::DrainReplica(number) => self.drain(&self.replicas[number]).await,
            SoakFault::Configure => self.configure(),
        }
    }

    /// Stops all relays; gives the exit codes.
    pub async fn stop_all(&self) -> Vec<Option<i32>> {
        let mut codes = Vec::new();
        for relay in &self.relays {
            relay.process.lock().await.signal(SIGTERM);
        }
        for relay in &self.relays {
            codes.push(relay.process.lock().await.wait().await);
        }
        codes
    }

    /// An upstream that leaves, serves on for a while, and starts again under its id.
    async fn drain(&self, replica: &SoakReplica) {
        self.announce(replica, UpstreamStage::Draining);
        sleep(DRAIN_TIME).await;
        replica.life.lock().born += 1;
        self.announce(replica, UpstreamStage::Ready);
    }

    fn announce(&self, replica: &SoakReplica, stage: UpstreamStage) {
        let mut life = replica.life.lock();
        life.sequence += 1;
        let mut record = replica.standin.record(stage, life.sequence);
        record.incarnation.started_at = Some(UnixMillis(life.born));
        record.address = replica.link.address;
        let (id, entry) = (record.incarnation.id.to_string(), encode_upstream(&record));
        self.scene.store.put(UPSTREAM_TOPIC, &id, &entry);
    }

    /// Writes the next configuration.
    fn configure(&self) {
        let mut revision = self.revision.lock();
        *revision += 1;
        let holder = |workspace: &str| KeyHolder {
            workspace: workspace.into(),
            priority: None,
        };
        let mut keys = vec![(KEY, holder(WORKSPACE))];
        if !*self.key_is_lost.lock() {
            keys.push((LOST_KEY, holder(LOST_WORKSPACE)));
        }
        self.scene
            .configure_keys(*revision, &rules(*revision), &keys);
    }
}

impl SoakRelay {
    async fn start(number: usize, scene: &RelayScene, folder: &Path) -> Self {
        let store_link = LinkRelay::start([127, 0, 0, 1].into()).await.unwrap();
        store_link.set_target(scene.store.address());
        let program = Path::new(env!("CARGO_BIN_EXE_ferry-relay"));
        let host = format!("edge-{number}");
        let process = RelayProcess::start(program, folder, SAMPLE, &host, store_link.address);
        Self {
            process: tokio::sync::Mutex::new(process.unwrap()),
            store_link,
        }
    }

    /// A graceful stop, then a new start.
    async fn stop(&self) {
        let mut process = self.process.lock().await;
        process.until_handles(SIGTERM).await;
        process.signal(SIGTERM);
        let code = process.wait().await;
        assert_eq!(code, Some(0), "a graceful stop ends with 0");
        process.restart().unwrap();
    }
}

impl SoakReplica {
    async fn start(number: usize) -> Self {
        let streams = number >= WHOLE_REPLICAS;
        let options = ReplicaOptions {
            id: format!("up-{number}"),
            service: if streams { STREAM_SERVICE } else { SERVICE }.to_owned(),
            version: "v1".to_owned(),
            slots: 64,
        };
        let listen = "127.0.0.1:0".parse().unwrap();
        let standin = ReplicaStandin::start(listen, options).await.unwrap();
        let usual = ReplicaPlan {
            events: if streams { EVENTS } else { 0 },
            gap: EVENT_GAP,
            wait: Duration::from_millis(20),
            ..ReplicaPlan::default()
        };
        standin.plan(usual.clone());
        let link = LinkRelay::start([127, 0, 0, 1].into()).await.unwrap();
        link.set_target(standin.address());
        Self {
            standin,
            link,
            usual,
            life: Mutex::default(),
        }
    }
}

/// One rule for each kind of run; the time-outs change with the revision.
fn rules(revision: u64) -> Vec<RouteRule> {
    let kinds = [
        ("/notes/", RunKind::Idempotent, SERVICE),
        ("/letters/", RunKind::Once, SERVICE),
        ("/chats/", RunKind::ResumableStream, STREAM_SERVICE),
        ("/drafts/", RunKind::Stream, STREAM_SERVICE),
    ];
    kinds
        .into_iter()
        .map(|(prefix, run, service)| {
            let mut rule = scene_rule(prefix, run);
            rule.timeout = Duration::from_millis(5_000 + revision % 2 * 500);
            rule.event_gap = run.is_stream().then_some(Duration::from_millis(300));
            rule.shares[0].service = service.into();
            rule
        })
        .collect()
}

async fn cut(link: &LinkRelay, lasts: Duration) {
    link.cut();
    sleep(lasts).await;
    link.heal();
}

async fn stall(link: &LinkRelay, lasts: Duration) {
    link.stall();
    sleep(lasts).await;
    link.heal();
}

fn store_faults(trouble: StoreTrouble) -> FaultOrder {
    let outage = |answer| FaultOrder {
        outage: Some(OutageOrder {
            answer,
            path: String::new(),
        }),
        ..FaultOrder::default()
    };
    match trouble {
        StoreTrouble::Refuses => outage(OutageAnswer::Unavailable),
        StoreTrouble::Drops => outage(OutageAnswer::Drop),
        StoreTrouble::LosesAnswers => FaultOrder {
            lose_answers: Some(AnswerLoss {
                count: 10,
                path: String::new(),
            }),
            ..FaultOrder::default()
        },
        StoreTrouble::Slow => FaultOrder {
            slow: Some(SlowOrder {
                ms: 700,
                path: String::new(),
            }),
            ..FaultOrder::default()
        },
    }
}

fn spoiled(usual: &ReplicaPlan, trouble: ReplicaTrouble) -> ReplicaPlan {
    let mut plan = usual.clone();
    match trouble {
        ReplicaTrouble::Full => plan.full = true,
        ReplicaTrouble::BreaksOff => plan.break_after = Some(plan.events / 2),
        ReplicaTrouble::WrongAnswers => plan.wrong_attempt = true,
        ReplicaTrouble::Fails => plan.status = StatusCode::INTERNAL_SERVER_ERROR,
        ReplicaTrouble::Slow => plan.wait = Duration::from_millis(1_500),
    }
    plan
}
