//! State of the limits of upstreams and of the permits at this router.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ferry_decisions::names::{HostName, ServiceName};
use ferry_decisions::registry::UpstreamIncarnation;
use ferry_decisions::time::MonotonicTime;
use parking_lot::Mutex;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use super::limit_book::{HeardLimit, LimitBook};
use super::permit_issuer::PermitIssuer;
use super::return_times::ReturnTimes;
use super::{LimitNotice, StatedLimits};

/// Time for which a router that did not answer is not asked for permits.
const UNREACHABLE_TIME: Duration = Duration::from_secs(3);

/// Limits heard, permits issued, and routers that gave none.
#[derive(Debug, Default)]
pub struct PermitManager {
    book: Mutex<LimitBook>,
    /// Whether the book has any limit; spares each choice the lock.
    has_limits: AtomicBool,
    issuer: Mutex<PermitIssuer>,
    /// When routers that did not answer were last asked.
    unreachable: Mutex<HashMap<HostName, MonotonicTime>>,
    returns: Mutex<ReturnTimes>,
    /// Upstreams whose limit ended by an answer to this router, not yet reported.
    ended: Mutex<Vec<UpstreamIncarnation>>,
    has_ended: Notify,
    /// Locks by upstream, held while a permit is asked for, so that requests that want one at the same time ask one after the other.
    asking: Mutex<HashMap<UpstreamIncarnation, AskLock>>,
}

/// Lock of the queries for permits of one upstream.
type AskLock = Arc<tokio::sync::Mutex<()>>;

impl PermitManager {
    /// Records what an answer states of its upstream's limits. The answer belongs to a request that was sent at `sent_at`.
    pub fn record_answer(
        &self,
        upstream: &UpstreamIncarnation,
        stated: StatedLimits,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        if stated.is_none() && !self.has_limits.load(Ordering::Acquire) {
            return;
        }
        let is_late = |heard: &HeardLimit| stated.is_none() && heard.heard_at >= sent_at;
        if self.book.lock().get(upstream).is_some_and(is_late) {
            // The answer may have been made before the limit was named.
            return;
        }
        if self.record(upstream, stated, now) && stated.is_none() {
            self.ended.lock().push(upstream.clone());
            self.has_ended.notify_one();
        }
    }

    /// Records what another router heard.
    pub fn merge(&self, notices: &[LimitNotice], now: MonotonicTime) {
        for notice in notices {
            let heard_at = now.before(Duration::from_millis(notice.heard_ms));
            self.record(&notice.upstream, notice.stated, heard_at);
        }
    }

    /// Forgets the upstreams for which `is_listed` returns false.
    pub fn retain_listed(&self, is_listed: impl Fn(&UpstreamIncarnation) -> bool) {
        if !self.has_limits.load(Ordering::Acquire) {
            return;
        }
        let mut book = self.book.lock();
        book.retain(is_listed);
        self.has_limits.store(book.has_limits(), Ordering::Release);
    }

    /// What this router heard of all limits.
    pub fn notices(&self, now: MonotonicTime) -> Vec<LimitNotice> {
        self.book.lock().notices(now)
    }

    /// What this router heard of the limit of `upstream`.
    pub fn notice(&self, upstream: &UpstreamIncarnation, now: MonotonicTime) -> LimitNotice {
        let heard = self.book.lock().get(upstream).copied();
        LimitNotice {
            upstream: upstream.clone(),
            stated: heard.map_or_else(StatedLimits::default, |heard| heard.stated),
            heard_ms: heard.map_or(u64::MAX, |heard| {
                now.since(heard.heard_at).as_millis() as u64
            }),
        }
    }

    /// Limits that `upstream` stated.
    pub fn stated(&self, upstream: &UpstreamIncarnation) -> StatedLimits {
        if !self.has_limits.load(Ordering::Acquire) {
            return StatedLimits::default();
        }
        let book = self.book.lock();
        let heard = book.get(upstream);
        heard.map_or_else(StatedLimits::default, |heard| heard.stated)
    }

    /// Time for which `upstream` gets no request because no permit is expected.
    pub fn wait(&self, upstream: &UpstreamIncarnation, now: MonotonicTime) -> Option<Duration> {
        if !self.has_limits.load(Ordering::Acquire) {
            return None;
        }
        self.book.lock().get(upstream)?.wait(now)
    }

    /// Lock to be held while a permit for `upstream` is asked for.
    pub fn ask_lock(&self, upstream: &UpstreamIncarnation) -> AskLock {
        let mut locks = self.asking.lock();
        locks.retain(|_, lock| Arc::strong_count(lock) > 1);
        Arc::clone(locks.entry(upstream.clone()).or_default())
    }

    /// Records that no permit for `upstream` is to be asked for until `until`.
    pub fn postpone(&self, upstream: &UpstreamIncarnation, until: MonotonicTime) {
        self.book.lock().postpone(upstream, until);
    }

    /// Issues a permit to send to `upstream`; the time after which to ask again if there is none.
    pub fn issue(&self, upstream: &UpstreamIncarnation, now: MonotonicTime) -> Option<Duration> {
        let stated = self.stated(upstream);
        if stated.is_none() {
            return None;
        }
        self.issuer.lock().issue(upstream, stated, now).err()
    }

    /// Records a rejection of `upstream`, whose permits this router issues.
    pub fn record_rejection(&self, upstream: &UpstreamIncarnation, now: MonotonicTime) {
        self.issuer.lock().record_rejection(upstream, now);
    }

    /// The router of `hosts` that issues the permits of `upstream`: the first in an order that is the same at all routers, without those that did
    /// not answer a moment ago.
    pub fn issuer_of<'a>(
        &self,
        upstream: &UpstreamIncarnation,
        hosts: &'a [HostName],
        now: MonotonicTime,
    ) -> Option<&'a HostName> {
        let unreachable = self.unreachable.lock();
        let is_reachable = |host: &&HostName| {
            let asked_at = unreachable.get(*host);
            asked_at.is_none_or(|at| now.since(*at) >= UNREACHABLE_TIME)
        };
        let hosts = hosts.iter().filter(is_reachable);
        hosts.min_by_key(|host| order(upstream, host))
    }

    /// Records that `host` did not answer.
    pub fn record_unreachable(&self, host: &HostName, now: MonotonicTime) {
        self.unreachable.lock().insert(host.clone(), now);
    }

    /// Time after which the next rejected caller of `service` may return, whose upstreams take `per_second` requests per second from `routers`
    /// routers.
    pub fn return_time(
        &self,
        service: &ServiceName,
        per_second: f64,
        routers: usize,
        now: MonotonicTime,
    ) -> Duration {
        self.returns.lock().next(service, per_second, routers, now)
    }

    /// Waits for upstreams whose limit has ended by an answer to this router.
    pub async fn take_ended(&self) -> Vec<UpstreamIncarnation> {
        self.has_ended.notified().await;
        std::mem::take(&mut *self.ended.lock())
    }

    fn record(
        &self,
        upstream: &UpstreamIncarnation,
        stated: StatedLimits,
        heard_at: MonotonicTime,
    ) -> bool {
        let mut book = self.book.lock();
        let has_changed = book.record(upstream, stated, heard_at);
        if has_changed {
            self.has_limits.store(book.has_limits(), Ordering::Release);
            spdlog::info!("limit of an upstream", kv: {
                upstream = upstream.id.as_str(),
                per_second = stated.per_second.unwrap_or(-1.0),
                rejections = stated.rejections.map_or(-1, i64::from),
            });
        }
        has_changed
    }
}

/// Sort key of `host` among the routers that may give the permits of `upstream`.
fn order<'a>(upstream: &UpstreamIncarnation, host: &'a HostName) -> (u64, &'a HostName) {
    let both = format!("{} {}", upstream.id, host);
    (xxh3_64(both.as_bytes()), host)
}
