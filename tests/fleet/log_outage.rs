//! Bills through an outage of the log under load, with a router replaced meanwhile.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use ferry_decisions::bill::{BillBatch, bill_stream};
use ferry_decisions::claim::SHARD_COUNT;
use ferry_decisions::names::RequestId;
use ferry_rig::{ChatCall, ChatResult, FleetRig, eventually};
use futures::future::join_all;
use serde_json::json;

use crate::letters::{LetterAnswer, ledger, send_letter};
use crate::sample::{client, fleet};

/// Length of the outage before the router is killed, and after it is back.
const OUTAGE_HALF: Duration = Duration::from_secs(6);
/// Loops that send one request after the other.
const SENDERS: usize = 12;
/// Router that is killed and replaced.
const KILLED: usize = 3;
/// Pause after a refusal.
const REFUSAL_PAUSE: Duration = Duration::from_millis(50);

/// What callers were told about each request.
#[derive(Debug, Default)]
struct CallerView {
    /// Requests answered whole.
    answered: BTreeSet<String>,
    /// Requests refused as not run.
    not_run: BTreeSet<String>,
    /// Requests whose outcome their callers don't know.
    open: BTreeSet<String>,
}

impl CallerView {
    fn note_chat(&mut self, id: String, result: &ChatResult) {
        match result {
            ChatResult::Answered(_) => self.answered.insert(id),
            ChatResult::Refused(refusal) if refusal.run == "not_run" => self.not_run.insert(id),
            ChatResult::Refused(_) | ChatResult::Broken(_) => self.open.insert(id),
        };
    }

    fn note_letter(&mut self, id: String, answer: &LetterAnswer) {
        match answer {
            LetterAnswer::Answered => self.answered.insert(id),
            LetterAnswer::Refused(run) if run == "not_run" => self.not_run.insert(id),
            LetterAnswer::Refused(_) | LetterAnswer::Broken => self.open.insert(id),
        };
    }

    fn merge(&mut self, mut other: Self) {
        self.answered.append(&mut other.answered);
        self.not_run.append(&mut other.not_run);
        self.open.append(&mut other.open);
    }
}

/// Load that runs until it is told to stop.
struct SteadyLoad {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    senders: Vec<tokio::task::JoinHandle<CallerView>>,
}

impl SteadyLoad {
    /// Sends completions, and each third time a call that may run once, to all `addresses`.
    fn start(addresses: &[String]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicUsize::new(0));
        let senders = (0..SENDERS).map(|sender| {
            let address = addresses[sender % addresses.len()].clone();
            let (stop, answered) = (Arc::clone(&stop), Arc::clone(&answered));
            tokio::spawn(send_steadily(address, stop, answered))
        });
        let senders = senders.collect();
        Self {
            stop,
            answered,
            senders,
        }
    }

    fn answered(&self) -> usize {
        self.answered.load(Ordering::Relaxed)
    }

    async fn finish(self) -> CallerView {
        self.stop.store(true, Ordering::Relaxed);
        let mut view = CallerView::default();
        for part in join_all(self.senders).await {
            view.merge(part.unwrap());
        }
        view
    }
}

async fn send_steadily(
    address: String,
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
) -> CallerView {
    let (caller, mut view) = (client(), CallerView::default());
    let mut turn = 0;
    while !stop.load(Ordering::Relaxed) {
        let id = RequestId::generate().to_string();
        let before = view.answered.len();
        if turn % 3 == 2 {
            let answer = send_letter(&caller, &address, &id).await;
            view.note_letter(id, &answer);
        } else {
            let call = ChatCall::new("small-1", "Summarise").id(&id);
            let result = caller.chat(&address, &call).await;
            view.note_chat(id, &result);
        }
        if view.answered.len() > before {
            answered.fetch_add(1, Ordering::Relaxed);
        } else {
            tokio::time::sleep(REFUSAL_PAUSE).await;
        }
        turn += 1;
    }
    view
}

/// How many bills each request has on the log, repeats of one and the same bill not counted.
async fn bills_on_the_log(rig: &FleetRig) -> BTreeMap<String, usize> {
    let mut bills = BTreeMap::<String, BTreeSet<String>>::new();
    for shard in 0..SHARD_COUNT {
        let stream = bill_stream(shard);
        let page = rig.log().read(&stream, 0, 10_000, Duration::ZERO).await;
        let page = page.unwrap();
        assert_eq!(
            page.records.len() as u64,
            page.next,
            "the stream is read whole"
        );
        for record in page.records {
            let batch: BillBatch = serde_json::from_str(&record.data).unwrap();
            for bill in batch.bills {
                let content = serde_json::to_string(&bill).unwrap();
                let known = bills.entry(bill.request.to_string()).or_default();
                known.insert(content);
            }
        }
    }
    let counts = bills.into_iter().map(|(id, known)| (id, known.len()));
    counts.collect()
}

/// Waits until no router has a bill, a copy or a void that is not on the log.
async fn until_flushed(rig: &FleetRig) {
    for index in 0..rig.routers.len() {
        eventually("the router has flushed its bills", || async move {
            let status = rig.admin(index, "/status").await?;
            let bills = &status["plugins"]["bills"];
            let voids = &status["plugins"]["claims"]["voids_not_on_the_log"];
            let open = [&bills["unlogged"], &bills["copies_held"], voids];
            open.iter().all(|count| **count == 0).then_some(())
        })
        .await;
    }
}

#[tokio::test]
async fn bills_are_exact_after_a_log_outage_in_which_a_router_is_replaced() {
    let mut rig = fleet(4).await;
    let addresses: Vec<_> = (0..4).map(|index| rig.callers(index)).collect();
    let load = SteadyLoad::start(&addresses);
    eventually("the load runs", || async {
        (load.answered() > 100).then_some(())
    })
    .await;
    let outage = json!({ "outage": { "answer": "drop", "path": "/streams" } });
    rig.platform_faults(&outage).await;
    let at_start = load.answered();
    tokio::time::sleep(OUTAGE_HALF).await;
    rig.routers[KILLED].process.kill().await;
    rig.restart_router(KILLED).await.unwrap();
    tokio::time::sleep(OUTAGE_HALF).await;
    let in_outage = load.answered() - at_start;
    rig.platform_heal().await;
    rig.until_ready(5).await;
    let after = load.answered();
    eventually("the load runs again", || async {
        (load.answered() > after + 100).then_some(())
    })
    .await;
    let view = load.finish().await;
    until_flushed(&rig).await;
    let bills = bills_on_the_log(&rig).await;
    println!(
        "answered {} ({in_outage} in the outage), refused as not run {}, open {}, billed {}",
        view.answered.len(),
        view.not_run.len(),
        view.open.len(),
        bills.len()
    );
    for id in &view.answered {
        assert_eq!(bills.get(id), Some(&1), "{id} was answered");
    }
    for id in &view.not_run {
        assert_eq!(bills.get(id), None, "{id} was refused as not run");
    }
    let unknown = bills
        .keys()
        .find(|id| !view.answered.contains(*id) && !view.open.contains(*id));
    assert_eq!(unknown, None, "a bill of a request that nobody sent");
    let report = ledger(&rig).await;
    let total: u64 = report.workspaces.values().map(|t| t.requests).sum();
    assert_eq!(total as usize, bills.len());
    assert!(!report.counts.need_attention(), "{:?}", report.anomalies);
}
