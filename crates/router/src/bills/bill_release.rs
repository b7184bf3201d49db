//! Makes bills durable: on the log, or in copies on peers while the log does not answer.

use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::bill::BillEntry;
use ferry_decisions::claim::{RequestKey, owner_of, shard_of};
use ferry_decisions::names::HostName;
use ferry_platform::hosts::HostState;
use parking_lot::Mutex;
use smallvec::SmallVec;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};

use super::bill_message::{BillAnswer, BillQuery};
use crate::core::RouterCore;
use crate::peer::PeerTopic;

/// Copies in other availability zones that make a bill durable.
pub(super) const COPIES: usize = 2;
/// Time that the log is given before copies are sent to peers.
const HOLD_AFTER: Duration = Duration::from_millis(100);
/// Time that the owner of a shard is given before this router appends the bill itself.
const OWNER_LIMIT: Duration = Duration::from_secs(2);
/// Time that a peer is given to take a copy.
const HOLD_LIMIT: Duration = Duration::from_millis(500);
/// Pause before copies are sent again.
const HOLD_PAUSE: Duration = Duration::from_millis(200);

/// Peers that took a copy.
type HolderList = SmallVec<[HostName; COPIES]>;

/// Returns once `bill` is durable.
pub async fn release(core: &Arc<RouterCore>, bill: BillEntry) {
    let asked = Instant::now();
    let key = RequestKey::new(&bill.workspace, &bill.request);
    core.bills.begin(&key);
    let (durable, released) = oneshot::channel();
    tokio::spawn(settle(Arc::clone(core), key, bill, durable));
    let _ = released.await;
    metrics::histogram!("ferry_bill_release_seconds").record(asked.elapsed().as_secs_f64());
}

/// Appends the copies whose routers are gone, or all of them.
pub(super) fn flush_holds(core: &Arc<RouterCore>, all: bool) {
    let present = core.hub().connected();
    for bill in core.bills.holds().take_due(&present, all) {
        let core = Arc::clone(core);
        tokio::spawn(async move {
            let key = RequestKey::new(&bill.workspace, &bill.request);
            append(&core, &bill).await;
            core.bills.holds().remove(&key);
        });
    }
}

/// Works on one bill until it is on the log; `durable` hears as soon as it is durable.
async fn settle(
    core: Arc<RouterCore>,
    key: RequestKey,
    bill: BillEntry,
    durable: oneshot::Sender<()>,
) {
    let holders = Mutex::new(HolderList::new());
    let logged = append(&core, &bill);
    tokio::pin!(logged);
    let is_logged = tokio::select! {
        () = &mut logged => true,
        () = hold_copies(&core, &bill, &holders) => false,
    };
    if !is_logged {
        core.bills.note_held(&key);
        metrics::counter!("ferry_bills_held_total").increment(1);
    }
    let _ = durable.send(());
    if !is_logged {
        logged.await;
    }
    core.bills.note_logged(&key);
    for holder in holders.into_inner() {
        let notice = BillQuery::Logged(key.clone());
        let _ = core.hub().notify(&holder, PeerTopic::Bills, &notice);
    }
}

/// Returns once `bill` is on the log, through the owner of its shard or from here.
async fn append(core: &Arc<RouterCore>, bill: &BillEntry) {
    let live = core.members.live();
    let owner = owner_of(shard_of(&bill.request), &live);
    if let Some(owner) = owner.filter(|owner| **owner != core.settings.host) {
        let query = BillQuery::Append(bill.clone());
        let hub = core.hub();
        let answer = hub
            .send_query::<_, BillAnswer>(owner, PeerTopic::Bills, &query, OWNER_LIMIT)
            .await;
        if matches!(answer, Ok(BillAnswer::Logged)) {
            return;
        }
    }
    append_here(core, bill).await;
}

/// Returns once `bill` was appended from this router.
async fn append_here(core: &RouterCore, bill: &BillEntry) {
    loop {
        let queued = core.bills.shard(bill).submit(bill.clone());
        let Some(logged) = queued else {
            sleep(HOLD_PAUSE).await;
            continue;
        };
        if logged.await.is_ok() {
            return;
        }
    }
}

/// Appends another router's bill as owner of its shard.
pub(super) async fn append_for_peer(core: &RouterCore, bill: &BillEntry) -> BillAnswer {
    let Some(logged) = core.bills.shard(bill).submit(bill.clone()) else {
        return BillAnswer::Refused;
    };
    match timeout(OWNER_LIMIT, logged).await {
        Ok(Ok(())) => BillAnswer::Logged,
        Ok(Err(_)) | Err(_) => BillAnswer::Refused,
    }
}

/// Returns once enough peers in other availability zones hold a copy, which `holders` lists.
async fn hold_copies(core: &RouterCore, bill: &BillEntry, holders: &Mutex<HolderList>) {
    if !core.appends.is_out() {
        sleep(HOLD_AFTER).await;
    }
    loop {
        let taken = holders.lock().clone();
        for peer in candidates(core, &taken) {
            let answer = ask_to_hold(core, &peer, bill).await;
            if matches!(answer, Some(BillAnswer::Held | BillAnswer::AlreadyHeld)) {
                holders.lock().push(peer);
            }
            if holders.lock().len() >= COPIES {
                return;
            }
        }
        sleep(HOLD_PAUSE).await;
    }
}

/// Asks `peer` to hold a copy; `None` when it does not answer.
pub(super) async fn ask_to_hold(
    core: &RouterCore,
    peer: &HostName,
    bill: &BillEntry,
) -> Option<BillAnswer> {
    let query = BillQuery::Hold(bill.clone());
    let answer = core
        .hub()
        .send_query(peer, PeerTopic::Bills, &query, HOLD_LIMIT)
        .await;
    answer.ok()
}

/// Linked, live routers in other availability zones that hold no copy yet.
fn candidates(core: &RouterCore, holders: &[HostName]) -> Vec<HostName> {
    let connected = core.hub().connected();
    core.members
        .listed()
        .into_iter()
        .filter(|entry| entry.zone != core.settings.zone && entry.state == HostState::Live)
        .map(|entry| entry.name)
        .filter(|name| connected.contains(name) && !holders.contains(name))
        .collect()
}
