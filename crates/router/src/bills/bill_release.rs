//! Makes bills durable: on the log, or as copies on peers while the log does not answer.

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

/// Number of copies in other availability zones that make a bill durable.
pub(super) const REQUIRED_COPIES: usize = 2;
/// Time to wait for the log before copies are sent to peers.
const COPY_DELAY: Duration = Duration::from_millis(100);
/// Timeout of an append through the shard's owner, after which this router appends the bill itself.
const OWNER_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a request to a peer to hold a copy.
const COPY_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before copies are sent again, and before a bill is submitted again to a full queue.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Peers that hold a copy.
type HolderList = SmallVec<[HostName; REQUIRED_COPIES]>;

/// Returns once `bill` is durable.
pub async fn release(core: &Arc<RouterCore>, bill: BillEntry) {
    let requested_at = Instant::now();
    let key = RequestKey::new(&bill.workspace, &bill.request);
    core.bills.add_unlogged(&key);
    let (durable, released) = oneshot::channel();
    tokio::spawn(make_durable(Arc::clone(core), key, bill, durable));
    let _ = released.await;
    metrics::histogram!("ferry_bill_release_seconds").record(requested_at.elapsed().as_secs_f64());
}

/// Appends the copies due for a flush, or with `all` every copy that is not being flushed.
pub(super) fn flush_copies(core: &Arc<RouterCore>, all: bool) {
    let connected = core.hub().connected();
    for bill in core.bills.copy_store().take_due(&connected, all) {
        let core = Arc::clone(core);
        tokio::spawn(async move {
            let key = RequestKey::new(&bill.workspace, &bill.request);
            append(&core, &bill).await;
            core.bills.copy_store().remove(&key);
        });
    }
}

/// Processes one bill until it is on the log, and signals `durable` as soon as it is durable.
async fn make_durable(
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
        () = place_copies(&core, &bill, &holders) => false,
    };
    if !is_logged {
        core.bills.record_held(&key);
        metrics::counter!("ferry_bills_held_total").increment(1);
    }
    let _ = durable.send(());
    if !is_logged {
        logged.await;
    }
    core.bills.record_logged(&key);
    for holder in holders.into_inner() {
        let notice = BillQuery::Logged(key.clone());
        let _ = core.hub().notify(&holder, PeerTopic::Bills, &notice);
    }
}

/// Returns once `bill` is on the log, appended by the owner of its shard or by this router.
async fn append(core: &Arc<RouterCore>, bill: &BillEntry) {
    let live = core.members.live();
    let owner = owner_of(shard_of(&bill.request), &live);
    if let Some(owner) = owner.filter(|owner| **owner != core.settings.host) {
        let query = BillQuery::Append(bill.clone());
        let hub = core.hub();
        let answer = hub
            .send_query::<_, BillAnswer>(owner, PeerTopic::Bills, &query, OWNER_TIMEOUT)
            .await;
        if matches!(answer, Ok(BillAnswer::Logged)) {
            return;
        }
    }
    append_locally(core, bill).await;
}

/// Returns once this router has appended `bill`, with retries while the shard's queue is full.
async fn append_locally(core: &RouterCore, bill: &BillEntry) {
    loop {
        let queued = core.bills.shard(bill).submit(bill.clone());
        let Some(logged) = queued else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        if logged.await.is_ok() {
            return;
        }
    }
}

/// Appends another router's bill as the owner of its shard.
pub(super) async fn append_for_peer(core: &RouterCore, bill: &BillEntry) -> BillAnswer {
    let Some(logged) = core.bills.shard(bill).submit(bill.clone()) else {
        return BillAnswer::Refused;
    };
    match timeout(OWNER_TIMEOUT, logged).await {
        Ok(Ok(())) => BillAnswer::Logged,
        Ok(Err(_)) | Err(_) => BillAnswer::Refused,
    }
}

/// Sends copies until [`REQUIRED_COPIES`] peers in other availability zones hold one, and adds
/// these peers to `holders`.
async fn place_copies(core: &RouterCore, bill: &BillEntry, holders: &Mutex<HolderList>) {
    if !core.appends.is_log_unavailable() {
        sleep(COPY_DELAY).await;
    }
    loop {
        let current_holders = holders.lock().clone();
        for peer in candidates(core, &current_holders) {
            let answer = request_copy(core, &peer, bill).await;
            if matches!(answer, Some(BillAnswer::Held | BillAnswer::AlreadyHeld)) {
                holders.lock().push(peer);
            }
            if holders.lock().len() >= REQUIRED_COPIES {
                return;
            }
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Requests `peer` to hold a copy; `None` when it does not answer.
pub(super) async fn request_copy(
    core: &RouterCore,
    peer: &HostName,
    bill: &BillEntry,
) -> Option<BillAnswer> {
    let query = BillQuery::Hold(bill.clone());
    let answer = core
        .hub()
        .send_query(peer, PeerTopic::Bills, &query, COPY_TIMEOUT)
        .await;
    answer.ok()
}

/// Connected live routers in other availability zones that hold no copy yet.
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
