//! Finds out whether the process of an upstream lived on after the end of a connection that marked the end of an answer.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::ends::ProcessSign;
use ferry_decisions::names::HostName;
use futures::future::{Either, select};
use tokio::time::{Instant, sleep, timeout};

use super::identity_query::{ask_identity, health_path, is_replaced};
use super::open_link::{open_direct, open_unrecorded};
use super::witness_query::is_reached_by_others;
use crate::relay::confirmation_time::ConfirmationTime;
use crate::relay::relay_core::SharedCore;
use crate::relay::upstreams::{LinkLease, RelayUpstream, UpstreamLink};

/// Time for which a new connection must stay open where its process can't be asked who it is: a port that is held for a process that has ended
/// may accept it and close it.
const LASTING_TIME: Duration = Duration::from_millis(20);
/// Time that a process is at least away before its next one serves at its address.
const MIN_RESTART_TIME: Duration = Duration::from_secs(1);
/// Time for which the next confirmation of the list of upstreams is waited for, which another router's reads may have to bring here. All that wait
/// at the same time share it, so that a long outage delays none.
const LIST_WAIT: Duration = Duration::from_millis(1_500);
/// Time within which other routers must answer.
const WITNESS_TIME: Duration = Duration::from_millis(250);

/// A check of an upstream's process.
#[derive(Debug, Clone, Copy)]
pub struct EndCheck {
    begun_at: Instant,
    /// When the sign was known, a value of [`ConfirmationTime::now`].
    ended_at: Duration,
    sign: ProcessSign,
}

/// The last check of an upstream, held while the next one runs.
pub type LastEndCheck = tokio::sync::Mutex<Option<EndCheck>>;

/// What is known of the process of `upstream` now, after an answer ended that came through the router `detour`, or directly.
///
/// The next process may have the id of the one before; then only the start time in its entry differs. An answer with no `silence` of
/// [`MIN_RESTART_TIME`] leaves no time for a restart before its end was read. After a longer one, as by a suspension of this router, the entries
/// count that the store had when the process replied.
pub async fn check_process(
    core: &SharedCore,
    upstream: &Arc<RelayUpstream>,
    detour: Option<&HostName>,
    silence: Duration,
) -> ProcessSign {
    let check = check_once(core, upstream, detour).await;
    if check.sign != ProcessSign::Same {
        return check.sign;
    }
    if silence >= MIN_RESTART_TIME {
        core.upstream_topic
            .settle_since(check.ended_at, LIST_WAIT)
            .await;
    }
    match is_replaced(core, upstream) {
        true => ProcessSign::Replaced,
        false => ProcessSign::Same,
    }
}

/// A check that begins after now. Ends that wait for one share the next, so that many ends at once cause few checks.
async fn check_once(
    core: &SharedCore,
    upstream: &Arc<RelayUpstream>,
    detour: Option<&HostName>,
) -> EndCheck {
    let ended_at = Instant::now();
    let mut last = upstream.last_end_check().lock().await;
    if let Some(check) = last.filter(|check| check.begun_at > ended_at) {
        return check;
    }
    let begun_at = Instant::now();
    let sign = find_sign(core, upstream, detour).await;
    let check = EndCheck {
        begun_at,
        ended_at: ConfirmationTime::now(),
        sign,
    };
    *last = Some(check);
    check
}

/// Asks the process at the address of `upstream` who it is, whatever it has said of itself; where it can't be asked, other routers are to,
/// since the path may be at fault. Where it is known to be, both at once.
async fn find_sign(
    core: &SharedCore,
    upstream: &Arc<RelayUpstream>,
    detour: Option<&HostName>,
) -> ProcessSign {
    // In a pause, a health check is one of the requests that the upstream wants none of from this router.
    if upstream.pause_left().is_some() && has_witness(core, upstream, detour).await {
        return ProcessSign::Same;
    }
    if detour.is_none() && !upstream.is_path_lost() {
        return match own_sign(core, upstream).await {
            sign @ (ProcessSign::Refused | ProcessSign::Unreached) => {
                sign.with_witness(has_witness(core, upstream, detour).await)
            }
            sign => sign,
        };
    }
    let own = pin!(own_sign(core, upstream));
    let witness = pin!(has_witness(core, upstream, detour));
    match select(own, witness).await {
        Either::Right((true, _)) => ProcessSign::Same,
        Either::Left((sign @ (ProcessSign::Refused | ProcessSign::Unreached), witness)) => {
            sign.with_witness(witness.await)
        }
        Either::Left((sign, _)) => sign,
        Either::Right((false, own)) => own.await,
    }
}

/// What a direct connection says of the process; one that works is kept for the next request.
pub async fn own_sign(core: &SharedCore, upstream: &Arc<RelayUpstream>) -> ProcessSign {
    let opened = match upstream.is_path_lost() {
        // The probes of a lost path keep their own time.
        true => open_unrecorded(core, upstream).await,
        false => open_direct(core, upstream).await,
    };
    let link = match opened {
        Ok(link) => link,
        Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            return ProcessSign::Refused;
        }
        Err(_) => return ProcessSign::Unreached,
    };
    match health_path(core, upstream) {
        Some(path) => ask_identity(core, upstream, link, &path).await,
        None => lasting_sign(upstream, link).await,
    }
}

/// What it says of the process that `link` stays open, for a service without a health check.
async fn lasting_sign(upstream: &Arc<RelayUpstream>, link: UpstreamLink) -> ProcessSign {
    sleep(LASTING_TIME).await;
    if link.sender.is_closed() {
        return ProcessSign::Unreached;
    }
    if upstream.pause_left().is_none() {
        LinkLease::new(Arc::clone(upstream), link).give_back(None);
    }
    ProcessSign::Accepted
}

/// Whether another router reaches the process of `upstream` now; the router `detour` is asked as well.
async fn has_witness(
    core: &SharedCore,
    upstream: &RelayUpstream,
    detour: Option<&HostName>,
) -> bool {
    let witness = is_reached_by_others(core, upstream, detour);
    // A router that gives no answer in time is no witness.
    timeout(WITNESS_TIME, witness).await.unwrap_or(false)
}
