//! State of the limits of upstreams and of the permits at this router.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use ferry_decisions::limits::{
    BrittleService, ColdBook, ColdStatement, HeardLimit, IssuerChoice, LimitBook, StatedLimits,
};
use ferry_decisions::names::{HostName, ServiceName};
use ferry_decisions::registry::{UpstreamIncarnation, UpstreamRecord};
use ferry_decisions::time::MonotonicTime;
use parking_lot::Mutex;
use tokio::sync::Notify;

use super::permit_issuer::PermitIssuer;
use super::report_queue::ReportQueue;
use super::return_times::ReturnTimes;
use super::upstream_waits::UpstreamWaits;
use super::{BrittleNotice, LimitNews, LimitNotice};

/// Limits heard, permits issued, and routers that gave none.
#[derive(Debug)]
pub struct PermitManager {
    book: Mutex<LimitBook>,
    /// Whether the book has any limit; spares each choice the lock.
    has_limits: AtomicBool,
    /// Until when upstreams are cold.
    cold: Mutex<ColdBook>,
    /// Whether any upstream is or was cold of late; spares each choice the lock.
    has_cold: AtomicBool,
    has_cold_news: Notify,
    /// Upstreams that are cold for longer than was known by an answer to this router, not yet reported.
    cold_by_answer: Mutex<Vec<UpstreamIncarnation>>,
    /// Upstreams that have answered since this router started, while it can't know whether the evacuation of their zone has just ended.
    answering: Mutex<HashSet<UpstreamIncarnation>>,
    waits: Mutex<UpstreamWaits>,
    issuer: Mutex<PermitIssuer>,
    /// Which routers answer that are asked for permits.
    choice: Mutex<IssuerChoice>,
    returns: Mutex<ReturnTimes>,
    /// Upstreams whose limit ended by an answer to this router, not yet reported.
    ended: Mutex<Vec<UpstreamIncarnation>>,
    has_ended: Notify,
    /// What became of permits of other routers.
    reports: ReportQueue,
    /// Number of the next permit. Begins at random, so that a restarted router gives none of its numbers again.
    next_number: AtomicU64,
    /// Locks by upstream, held while a permit is asked for, so that requests that want one at the same time ask one after the other.
    asking: Mutex<HashMap<UpstreamIncarnation, AskLock>>,
}

/// Lock of the queries for permits of one upstream.
type AskLock = Arc<tokio::sync::Mutex<()>>;

impl Default for PermitManager {
    fn default() -> Self {
        Self {
            book: Mutex::default(),
            has_limits: AtomicBool::new(false),
            cold: Mutex::default(),
            has_cold: AtomicBool::new(false),
            has_cold_news: Notify::new(),
            cold_by_answer: Mutex::default(),
            answering: Mutex::default(),
            waits: Mutex::default(),
            issuer: Mutex::default(),
            choice: Mutex::default(),
            returns: Mutex::default(),
            ended: Mutex::default(),
            has_ended: Notify::new(),
            reports: ReportQueue::default(),
            next_number: AtomicU64::new(rand::random()),
            asking: Mutex::default(),
        }
    }
}

impl PermitManager {
    /// Records what an answer states of its upstream's limits. The answer belongs to a request that was sent at `sent_at`.
    pub fn record_answer(
        &self,
        upstream: &UpstreamRecord,
        stated: StatedLimits,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        if stated.is_none() && !self.has_limits.load(Ordering::Acquire) {
            return;
        }
        let (incarnation, service) = (&upstream.incarnation, &upstream.service);
        let is_late =
            stated.is_none() && self.book.lock().is_outdated(incarnation, service, sent_at);
        if is_late {
            // The answer may have been made before the limit was named.
            return;
        }
        let heard = HeardLimit {
            service: Some(service.clone()),
            stated,
            heard_at: now,
        };
        if self.record(incarnation, heard) && stated.is_none() {
            self.ended.lock().push(incarnation.clone());
            self.has_ended.notify_one();
        }
    }

    /// Records what another router heard.
    pub fn merge(&self, news: LimitNews, now: MonotonicTime) {
        let ago = |ms| now.before(Duration::from_millis(ms));
        for notice in news.brittle {
            let statement = BrittleService {
                survived: notice.survived,
                since: ago(notice.since_ms),
                heard_at: ago(notice.heard_ms),
            };
            if !statement.is_expired(now) {
                self.book.lock().record_service(&notice.service, statement);
            }
        }
        for notice in news.limits {
            if let Some(cold) = notice.cold {
                self.record_cold(&notice.upstream, cold.into(), now);
            }
            let heard = HeardLimit {
                service: notice.service,
                stated: notice.stated,
                heard_at: ago(notice.heard_ms),
            };
            self.record(&notice.upstream, heard);
        }
        self.publish(&self.book.lock());
    }

    /// Forgets the upstreams for which `is_listed` returns false.
    pub fn retain_listed(&self, is_listed: impl Fn(&UpstreamIncarnation) -> bool) {
        self.waits.lock().retain(&is_listed);
        if !self.has_limits.load(Ordering::Acquire) {
            return;
        }
        let mut book = self.book.lock();
        book.retain(is_listed);
        self.publish(&book);
    }

    /// What this router heard of all limits.
    pub fn news(&self, now: MonotonicTime) -> LimitNews {
        let mut book = self.book.lock();
        book.expire(now);
        self.publish(&book);
        let age = |at| now.since(at).as_millis() as u64;
        let mut limits: Vec<LimitNotice> = book
            .statements()
            .map(|(upstream, heard)| LimitNotice {
                upstream: upstream.clone(),
                service: heard.service.clone(),
                stated: heard.stated,
                heard_ms: age(heard.heard_at),
                cold: None,
            })
            .collect();
        let cold = self.cold.lock();
        // Other routers get the entries as well.
        let stated = cold.statements(now);
        let stated = stated.filter(|(_, statement)| !statement.is_entry);
        limits.extend(stated.map(|(upstream, statement)| LimitNotice {
            cold: Some(statement.into()),
            ..unheard(upstream)
        }));
        drop(cold);
        let brittle = book.brittle().map(|(service, statement)| BrittleNotice {
            service: service.clone(),
            survived: statement.survived,
            since_ms: age(statement.since),
            heard_ms: age(statement.heard_at),
        });
        LimitNews {
            limits,
            brittle: brittle.collect(),
        }
    }

    /// What this router heard of the limit of `upstream`.
    pub fn notice(&self, upstream: &UpstreamIncarnation, now: MonotonicTime) -> LimitNotice {
        let book = self.book.lock();
        let cold = self.cold.lock().statement(upstream, now).map(Into::into);
        let Some(heard) = book.heard(upstream) else {
            return LimitNotice {
                cold,
                ..unheard(upstream)
            };
        };
        LimitNotice {
            upstream: upstream.clone(),
            service: heard.service.clone(),
            stated: heard.stated,
            heard_ms: now.since(heard.heard_at).as_millis() as u64,
            cold,
        }
    }

    /// Records that `upstream` is cold; returns whether it is for longer than was known.
    pub fn record_cold(
        &self,
        upstream: &UpstreamIncarnation,
        statement: ColdStatement,
        now: MonotonicTime,
    ) -> bool {
        let mut cold = self.cold.lock();
        let is_news = cold.record(upstream, statement, now);
        self.has_cold.store(!cold.is_empty(), Ordering::Release);
        if is_news {
            self.has_cold_news.notify_one();
        }
        is_news
    }

    /// Records that an answer of `upstream` states that it is cold for `left`.
    pub fn record_cold_answer(
        &self,
        upstream: &UpstreamIncarnation,
        left: Duration,
        now: MonotonicTime,
    ) {
        let statement = ColdStatement {
            id: rand::random(),
            is_entry: false,
            left,
        };
        if self.record_cold(upstream, statement, now) {
            self.cold_by_answer.lock().push(upstream.clone());
        }
    }

    /// How much longer `upstream` is cold, as far as entries and answers state it; `None` if it is not.
    pub fn cold_left(
        &self,
        upstream: &UpstreamIncarnation,
        now: MonotonicTime,
    ) -> Option<Duration> {
        if !self.has_cold() {
            return None;
        }
        let statement = self.cold.lock().statement(upstream, now)?;
        Some(statement.left)
    }

    /// Records that `upstream` has answered.
    pub fn record_answering(&self, upstream: &UpstreamIncarnation) {
        let mut answering = self.answering.lock();
        if !answering.contains(upstream) {
            answering.insert(upstream.clone());
        }
    }

    /// Forgets which upstreams have answered.
    pub fn forget_answering(&self) {
        self.answering.lock().clear();
    }

    /// Whether a cold time of `upstream` was heard, or it has answered while that was recorded.
    pub fn has_heard_of(&self, upstream: &UpstreamIncarnation) -> bool {
        self.answering.lock().contains(upstream) || self.cold.lock().has_heard(upstream)
    }

    /// Whether any upstream is or was cold of late.
    pub fn has_cold(&self) -> bool {
        self.has_cold.load(Ordering::Acquire)
    }

    /// Waits until an upstream is cold for longer than was known; returns those of which an answer to this router said so.
    pub async fn take_cold(&self) -> Vec<UpstreamIncarnation> {
        self.has_cold_news.notified().await;
        std::mem::take(&mut *self.cold_by_answer.lock())
    }

    /// Forgets upstreams that have not been cold for a while.
    pub fn expire_cold(&self, now: MonotonicTime) {
        let mut cold = self.cold.lock();
        cold.expire(now);
        self.has_cold.store(!cold.is_empty(), Ordering::Release);
    }

    /// Limits of `upstream`, as far as known or assumed.
    pub fn limits(&self, upstream: &UpstreamRecord) -> StatedLimits {
        if !self.has_limits.load(Ordering::Acquire) {
            return StatedLimits::default();
        }
        let book = self.book.lock();
        book.limits(&upstream.incarnation, &upstream.service)
    }

    /// Time until a permit for `upstream`, which needs one, is to be asked for.
    pub fn wait(&self, upstream: &UpstreamIncarnation, now: MonotonicTime) -> Option<Duration> {
        self.waits.lock().left(upstream, now)
    }

    /// Requests per second that `upstream` takes: the limit that it names, or what its issuer saw it answer if it is brittle.
    pub fn per_second(&self, upstream: &UpstreamRecord) -> Option<f64> {
        let limits = self.limits(upstream);
        let answered = || self.waits.lock().per_second(&upstream.incarnation);
        let is_brittle = limits.rejections.is_some();
        limits
            .per_second
            .or_else(|| is_brittle.then(answered).flatten())
    }

    /// Lock to be held while a permit for `upstream` is asked for.
    pub fn ask_lock(&self, upstream: &UpstreamIncarnation) -> AskLock {
        let mut locks = self.asking.lock();
        locks.retain(|_, lock| Arc::strong_count(lock) > 1);
        Arc::clone(locks.entry(upstream.clone()).or_default())
    }

    /// Records that no permit for `upstream` is to be asked for until `until`.
    pub fn postpone(&self, upstream: &UpstreamIncarnation, until: MonotonicTime) {
        self.waits.lock().postpone(upstream, until);
    }

    /// Records that `upstream` has answered `per_second` requests per second lately.
    pub fn record_rate(&self, upstream: &UpstreamIncarnation, per_second: f64) {
        self.waits.lock().record_rate(upstream, per_second);
    }

    /// Records that `issuer` is asked for permits of `upstream`; returns whether another one was asked before.
    pub fn record_issuer(&self, upstream: &UpstreamIncarnation, issuer: &HostName) -> bool {
        self.waits.lock().record_issuer(upstream, issuer)
    }

    /// The permits that this router issues.
    pub fn issuer(&self) -> &Mutex<PermitIssuer> {
        &self.issuer
    }

    /// Number of a new permit of this router.
    pub fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// What became of permits of other routers, not yet reported to them.
    pub fn reports(&self) -> &ReportQueue {
        &self.reports
    }

    /// The router of `hosts` to ask for a permit of `upstream`; `None` while none of those that may issue it answers.
    pub fn issuer_of<'a>(
        &self,
        upstream: &UpstreamIncarnation,
        hosts: &'a [HostName],
        now: MonotonicTime,
    ) -> Option<&'a HostName> {
        self.choice.lock().choose(upstream, hosts, now)
    }

    /// The same for a cold upstream, for which no other router takes the place of one that is gone.
    pub fn fixed_issuer_of<'a>(
        &self,
        upstream: &UpstreamIncarnation,
        hosts: &'a [HostName],
        now: MonotonicTime,
    ) -> Option<&'a HostName> {
        self.choice.lock().choose_fixed(upstream, hosts, now)
    }

    /// Records that `host` answered a query.
    pub fn record_reachable(&self, host: &HostName) {
        self.choice.lock().record_answer(host);
    }

    /// Records that `host` did not answer.
    pub fn record_unreachable(&self, host: &HostName, now: MonotonicTime) {
        self.choice.lock().record_silence(host, now);
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

    /// The time that [`PermitManager::return_time`] would give to the next rejected caller.
    pub fn peek_return_time(
        &self,
        service: &ServiceName,
        per_second: f64,
        routers: usize,
        now: MonotonicTime,
    ) -> Duration {
        self.returns.lock().peek(service, per_second, routers, now)
    }

    /// Waits for upstreams whose limit has ended by an answer to this router.
    pub async fn take_ended(&self) -> Vec<UpstreamIncarnation> {
        self.has_ended.notified().await;
        std::mem::take(&mut *self.ended.lock())
    }

    fn record(&self, upstream: &UpstreamIncarnation, heard: HeardLimit) -> bool {
        let stated = heard.stated;
        let mut book = self.book.lock();
        let has_changed = book.record(upstream, heard);
        self.publish(&book);
        if has_changed {
            spdlog::info!("limit of an upstream", kv: {
                upstream = upstream.id.as_str(),
                per_second = stated.per_second.unwrap_or(-1.0),
                rejections = stated.rejections.map_or(-1, i64::from),
            });
        }
        has_changed
    }

    fn publish(&self, book: &LimitBook) {
        self.has_limits.store(book.has_limits(), Ordering::Release);
    }
}

/// What is told of `upstream` if nothing was heard of its limits.
fn unheard(upstream: &UpstreamIncarnation) -> LimitNotice {
    LimitNotice {
        upstream: upstream.clone(),
        service: None,
        stated: StatedLimits::default(),
        heard_ms: u64::MAX,
        cold: None,
    }
}
