//! Bills across an outage of the log under load, in which a router is killed and replaced.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ferry_decisions::names::RequestId;
use ferry_rig::{ChatCall, ChatResult, eventually};
use futures::future::join_all;
use serde_json::json;

use crate::letters::{LetterAnswer, ledger, send_letter};
use crate::logged_bills::{bills_on_the_log, until_flushed};
use crate::sample::{client, fleet};

/// Duration of the outage before the router is killed, and again after it is back.
const OUTAGE_HALF: Duration = Duration::from_secs(6);
/// Number of tasks that each send one request after the other.
const SENDERS: usize = 12;
/// Router that is killed and replaced.
const KILLED: usize = 3;
/// Pause of a sender after a request that was not answered.
const REFUSAL_PAUSE: Duration = Duration::from_millis(50);

/// Outcome of each request as its caller saw it.
#[derive(Debug, Default)]
struct CallerOutcomes {
    /// Requests with a complete answer.
    answered: BTreeSet<String>,
    /// Requests refused as not run.
    not_run: BTreeSet<String>,
    /// Requests that may have run: neither answered nor refused as not run.
    undetermined: BTreeSet<String>,
}

impl CallerOutcomes {
    fn record_chat(&mut self, id: String, result: &ChatResult) {
        match result {
            ChatResult::Answered(_) => self.answered.insert(id),
            ChatResult::Refused(refusal) if refusal.run == "not_run" => self.not_run.insert(id),
            ChatResult::Refused(_) | ChatResult::Broken(_) => self.undetermined.insert(id),
        };
    }

    fn record_letter(&mut self, id: String, answer: &LetterAnswer) {
        match answer {
            LetterAnswer::Answered => self.answered.insert(id),
            LetterAnswer::Refused(run) if run == "not_run" => self.not_run.insert(id),
            LetterAnswer::Refused(_) | LetterAnswer::Broken => self.undetermined.insert(id),
        };
    }

    fn merge(&mut self, mut other: Self) {
        self.answered.append(&mut other.answered);
        self.not_run.append(&mut other.not_run);
        self.undetermined.append(&mut other.undetermined);
    }
}

/// Load in the background that runs until it is stopped.
struct BackgroundLoad {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    /// Addresses of the routers for callers, as a load balancer would list them.
    addresses: Arc<Mutex<Vec<String>>>,
    senders: Vec<tokio::task::JoinHandle<CallerOutcomes>>,
}

impl BackgroundLoad {
    /// Sends completions to all `addresses`; every third request is a call that may run only once.
    fn start(addresses: &[String]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicUsize::new(0));
        let shared = Arc::new(Mutex::new(addresses.to_vec()));
        let senders = (0..SENDERS).map(|sender| {
            let (stop, answered) = (Arc::clone(&stop), Arc::clone(&answered));
            let addresses = Arc::clone(&shared);
            let address = move || {
                let addresses = addresses.lock().unwrap();
                addresses[sender % addresses.len()].clone()
            };
            tokio::spawn(send_until_stopped(address, stop, answered))
        });
        let senders = senders.collect();
        Self {
            stop,
            answered,
            addresses: shared,
            senders,
        }
    }

    /// Replaces the address of router `index` for all further requests.
    fn replace_address(&self, index: usize, address: String) {
        self.addresses.lock().unwrap()[index] = address;
    }

    fn answered(&self) -> usize {
        self.answered.load(Ordering::Relaxed)
    }

    async fn finish(self) -> CallerOutcomes {
        self.stop.store(true, Ordering::Relaxed);
        let mut outcomes = CallerOutcomes::default();
        for part in join_all(self.senders).await {
            outcomes.merge(part.unwrap());
        }
        outcomes
    }
}

async fn send_until_stopped(
    address: impl Fn() -> String,
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
) -> CallerOutcomes {
    let (caller, mut outcomes) = (client(), CallerOutcomes::default());
    let mut turn = 0;
    while !stop.load(Ordering::Relaxed) {
        let id = RequestId::generate().to_string();
        let before = outcomes.answered.len();
        let address = address();
        if turn % 3 == 2 {
            let answer = send_letter(&caller, &address, &id).await;
            outcomes.record_letter(id, &answer);
        } else {
            let call = ChatCall::new("small-1", "Summarise").id(&id);
            let result = caller.chat(&address, &call).await;
            outcomes.record_chat(id, &result);
        }
        if outcomes.answered.len() > before {
            answered.fetch_add(1, Ordering::Relaxed);
        } else {
            tokio::time::sleep(REFUSAL_PAUSE).await;
        }
        turn += 1;
    }
    outcomes
}

#[tokio::test]
async fn bills_are_exact_after_a_log_outage_in_which_a_router_is_replaced() {
    let mut rig = fleet(4).await;
    let addresses: Vec<_> = (0..4).map(|index| rig.callers(index)).collect();
    let load = BackgroundLoad::start(&addresses);
    eventually("the load runs", || async {
        (load.answered() > 100).then_some(())
    })
    .await;
    let outage = json!({ "outage": { "answer": "drop", "path": "/streams" } });
    rig.platform_faults(&outage).await;
    let at_start = load.answered();
    tokio::time::sleep(OUTAGE_HALF).await;
    let killed = Instant::now();
    rig.routers[KILLED].process.kill().await;
    rig.restart_router(KILLED).await.unwrap();
    load.replace_address(KILLED, rig.callers(KILLED));
    let replaced = killed.elapsed();
    let at_kill = load.answered();
    tokio::time::sleep(OUTAGE_HALF).await;
    let in_outage = load.answered() - at_start;
    assert!(
        load.answered() > at_kill,
        "no request was answered after the kill"
    );
    rig.platform_heal().await;
    rig.wait_until_ready(5).await;
    let after = load.answered();
    eventually("the load runs again", || async {
        (load.answered() > after + 100).then_some(())
    })
    .await;
    let outcomes = load.finish().await;
    until_flushed(&rig, 0..rig.routers.len()).await;
    let bills = bills_on_the_log(&rig).await;
    println!(
        "answered {} ({in_outage} in the outage), router replaced in {replaced:?}, refused as not run {}, undetermined {}, billed {}",
        outcomes.answered.len(),
        outcomes.not_run.len(),
        outcomes.undetermined.len(),
        bills.len()
    );
    for id in &outcomes.answered {
        assert_eq!(bills.get(id), Some(&1), "{id} was answered");
    }
    for id in &outcomes.not_run {
        assert_eq!(bills.get(id), None, "{id} was refused as not run");
    }
    let unknown = bills
        .keys()
        .find(|id| !outcomes.answered.contains(*id) && !outcomes.undetermined.contains(*id));
    assert_eq!(unknown, None, "a bill of a request that nobody sent");
    let report = ledger(&rig).await;
    let total: u64 = report.workspaces.values().map(|t| t.requests).sum();
    assert_eq!(total as usize, bills.len());
    assert!(!report.counts.need_attention(), "{:?}", report.anomalies);
}
