//! State of the shared load at one router.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ferry_decisions::names::{HostName, ServiceName};
use ferry_decisions::registry::{UpstreamIncarnation, UpstreamRecord};
use ferry_decisions::retry::TrialPace;
use ferry_decisions::time::MonotonicTime;
use ferry_decisions::workload::{
    ContentionModel, GroupReport, PoolHostChoice, PooledUpstream, PooledWork, SentRows,
    SlownessFigure, UpstreamWorkRow, UsualContention, WorkLoad, WorkModel, expected_slowness,
};
use parking_lot::Mutex;

use super::load_message::LoadReport;
use super::share_manager::ShareManager;
use crate::relay::upstreams::RelayUpstream;

/// Percent of the usual time as a factor of it.
const PERCENT: f64 = 0.01;
/// Time after which the rows that were sent to a router which reports no more are forgotten.
const SENT_ROWS_LIFETIME: Duration = Duration::from_secs(10);
/// Highest number of routers whose sent rows are kept.
const MAX_SENT: usize = 512;

/// Time to the head of one answer.
#[derive(Debug, Clone, Copy)]
pub struct HeadTime<'a> {
    /// Service that answered.
    pub service: &'a ServiceName,
    /// Class by which the usual time to the head is learned: rule and model, which is empty unless the router chose it.
    pub class: &'a str,
    /// Class by which the expected time of the run is learned: rule and model, whoever chose it.
    pub run_class: &'a str,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Time from the send to the head.
    pub took: Duration,
    /// Whether the answer is a success.
    pub is_success: bool,
}

/// Expected work of runs, and the figures of other routers.
#[derive(Debug)]
pub struct LoadManager {
    /// Expected time of runs by service.
    models: Mutex<HashMap<ServiceName, WorkModel>>,
    /// How contended the machines of each service are.
    contentions: Mutex<HashMap<ServiceName, ContentionModel>>,
    /// When classes that are rejected for their usual or expected time are tried again.
    trials: Mutex<TrialPace>,
    /// Whether figures are exchanged.
    is_sharing: AtomicBool,
    /// Reports to this router.
    pool: Mutex<PooledWork>,
    /// Answers to the reports of this router.
    heard: Mutex<HeardRows>,
    choice: Mutex<PoolHostChoice>,
    /// Router that pools the reports of this one; absent while none does.
    pool_host: Mutex<Option<HostName>>,
    sent: Mutex<HashMap<HostName, SentRows>>,
    /// Figures of this router as it last computed them, and when.
    own_rows: Mutex<Option<(Vec<UpstreamWorkRow>, MonotonicTime)>>,
    /// Number of the last report or answer. Begins with the time of day, so that those of a restarted router are newer than those before.
    sequence: AtomicU64,
    shares: ShareManager,
}

/// Figures of the other routers, as the pool host answered them.
#[derive(Debug, Default)]
struct HeardRows {
    host: Option<HostName>,
    /// Number of the last answer.
    number: u64,
    rows: HashMap<UpstreamIncarnation, (UpstreamWorkRow, MonotonicTime)>,
    pool: PooledWork,
}

impl Default for LoadManager {
    fn default() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let started_at = since_epoch.unwrap_or_default().as_millis() as u64;
        Self {
            models: Mutex::default(),
            contentions: Mutex::default(),
            trials: Mutex::default(),
            is_sharing: AtomicBool::new(false),
            pool: Mutex::default(),
            heard: Mutex::default(),
            choice: Mutex::default(),
            pool_host: Mutex::default(),
            sent: Mutex::default(),
            own_rows: Mutex::default(),
            // A router sends fewer than a thousand messages a second.
            sequence: AtomicU64::new(started_at),
            shares: ShareManager::default(),
        }
    }
}

impl LoadManager {
    /// Applies `action` to the expected time of the runs of `service`.
    pub fn with_model<R>(
        &self,
        service: &ServiceName,
        action: impl FnOnce(&mut WorkModel) -> R,
    ) -> R {
        let mut models = self.models.lock();
        action(models.entry(service.clone()).or_default())
    }

    /// Records the time to the head of an answer; returns it as a multiple of the usual time, if that is known.
    ///
    /// The head that answers a trial replaces what was learned before, which led to rejections. That of an error, such as an invalid request,
    /// says nothing of the time of runs.
    pub fn record_head(&self, head: &HeadTime<'_>, now: MonotonicTime) -> Option<f64> {
        let mut trials = self.trials.lock();
        let was_tried = trials.record(head.class, now);
        let was_run_tried = match head.class == head.run_class {
            true => was_tried,
            false => trials.record(head.run_class, now),
        };
        drop(trials);
        self.with_model(head.service, |model| {
            if was_tried {
                model.forget_head(head.class);
            }
            if was_run_tried && head.is_success {
                model.forget(head.run_class);
            }
            model.record_head(head.class, head.took, head.prompt_tokens)
        })
    }

    /// When classes that are rejected for their usual or expected time are tried again.
    pub fn trials(&self) -> &Mutex<TrialPace> {
        &self.trials
    }

    /// Demand of the workspaces, and their shares of contended services.
    pub fn shares(&self) -> &ShareManager {
        &self.shares
    }

    /// What the other routers report about `upstream`; nothing while no figures are exchanged.
    pub fn view(&self, upstream: &UpstreamIncarnation, now: MonotonicTime) -> PooledUpstream {
        if !self.is_sharing() {
            return PooledUpstream::default();
        }
        let heard = self.heard.lock();
        match heard.host {
            Some(_) => heard.pool.view(upstream, now),
            None => self.pool.lock().view(upstream, now),
        }
    }

    /// Learns from `contention`, in percent of the usual time, which `upstream` stated at `stated_at`.
    pub fn record_contention(
        &self,
        upstream: &RelayUpstream,
        contention: Option<u32>,
        stated_at: MonotonicTime,
    ) {
        let Some(percent) = contention else {
            return;
        };
        let figure = f64::from(percent) * PERCENT;
        let UpstreamRecord {
            service,
            incarnation,
            ..
        } = &upstream.record;
        let mut contentions = self.contentions.lock();
        let model = contentions.entry(service.clone()).or_default();
        model.record(incarnation, figure, stated_at);
    }

    /// How contended the machines of `service` usually are, as far as it is known.
    pub fn usual_contention(&self, service: &ServiceName) -> UsualContention {
        let contentions = self.contentions.lock();
        let model = contentions.get(service);
        model.map(ContentionModel::usual).unwrap_or_default()
    }

    /// Expected contention of a machine of `usual` contention on which an upstream stated `load` last.
    pub fn expected_contention(usual: &UsualContention, load: Option<WorkLoad>) -> f64 {
        let figure = load.and_then(|load| Some((load.contention?, load.age_ms)));
        figure.map_or(usual.mean(), |(percent, age_ms)| {
            let age = Duration::from_millis(age_ms.into());
            usual.expected(f64::from(percent) * PERCENT, age)
        })
    }

    /// Time that runs take at `upstream` as a multiple of the usual time, from the runs of all routers; 1 if it is not known.
    pub fn slowness(&self, upstream: &RelayUpstream, now: MonotonicTime) -> f64 {
        let view = self.view(&upstream.record.incarnation, now);
        let mut figure = SlownessFigure::new(view.slowness, view.samples, now);
        figure.add(&upstream.slowness(), now);
        expected_slowness(figure.mean(), figure.samples(now))
    }

    /// Number of requests of all routers at `upstream`, as far as it is known.
    pub fn requests(&self, upstream: &RelayUpstream, now: MonotonicTime) -> u32 {
        let others = self.view(&upstream.record.incarnation, now).requests;
        others.saturating_add(upstream.in_flight())
    }

    /// Whether figures are exchanged.
    pub fn is_sharing(&self) -> bool {
        self.is_sharing.load(Ordering::Acquire)
    }

    /// Sets whether figures are exchanged; what was heard is forgotten when they are not.
    pub(super) fn set_sharing(&self, is_sharing: bool) {
        if self.is_sharing.swap(is_sharing, Ordering::AcqRel) && !is_sharing {
            *self.heard.lock() = HeardRows::default();
            *self.pool_host.lock() = None;
        }
    }

    /// Reports to this router.
    pub(super) fn pool(&self) -> &Mutex<PooledWork> {
        &self.pool
    }

    /// Pool hosts as this router finds them.
    pub(super) fn choice(&self) -> &Mutex<PoolHostChoice> {
        &self.choice
    }

    /// Router that pools the reports of this one.
    pub fn pool_host(&self) -> Option<HostName> {
        self.pool_host.lock().clone()
    }

    /// Records that `host` pools the reports of this router, which is `own`; returns whether another one did before.
    pub(super) fn set_pool_host(&self, host: &HostName, own: &HostName) -> bool {
        let previous = self.pool_host.lock().replace(host.clone());
        if host == own {
            *self.heard.lock() = HeardRows::default();
        }
        previous.as_ref() != Some(host)
    }

    /// Number of the next report or answer.
    pub(super) fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Number of the last answer of `host`; 0 if there is none that later answers can refer to.
    pub(super) fn known_answer(&self, host: &HostName) -> u64 {
        let heard = self.heard.lock();
        match heard.host.as_ref() == Some(host) {
            true => heard.number,
            false => 0,
        }
    }

    /// Records `rows` of an answer of `host`.
    pub(super) fn record_answer(
        &self,
        host: &HostName,
        report: &LoadReport,
        rows: Vec<UpstreamWorkRow>,
        is_whole: bool,
        now: MonotonicTime,
    ) {
        let mut heard = self.heard.lock();
        let heard = &mut *heard;
        if is_whole || heard.host.as_ref() != Some(host) {
            heard.rows.clear();
            heard.pool = PooledWork::default();
        }
        heard.host = Some(host.clone());
        heard.number = report.sequence;
        for row in rows {
            heard.rows.insert(row.upstream.clone(), (row, now));
        }
        heard
            .rows
            .retain(|_, (row, heard_at)| is_known(row, *heard_at, now));
        let current = heard.rows.values().map(|(row, at)| aged(row, *at, now));
        let report = GroupReport {
            sequence: report.sequence,
            age: Duration::from_millis(report.age_ms.into()),
            rows: current.collect(),
            members: Vec::new(),
        };
        heard.pool.merge_group(host, report, now);
    }

    /// Encodes the answer `number` with `rows` to `router`, which has the answer `known`; returns whether these are all rows.
    pub(super) fn encode_answer(
        &self,
        router: &HostName,
        rows: Vec<UpstreamWorkRow>,
        known: u64,
        number: u64,
        now: MonotonicTime,
    ) -> (Vec<u8>, bool) {
        let mut sent = self.sent.lock();
        sent.retain(|host, rows| host == router || now.since(rows.sent_at()) < SENT_ROWS_LIFETIME);
        if sent.len() >= MAX_SENT {
            sent.clear();
        }
        let rows_of = sent.entry(router.clone()).or_default();
        rows_of.encode(rows, known, number, now)
    }

    /// Figures of this router that were computed in the last `span`; otherwise, those that `compute` returns.
    pub(super) fn own_rows(
        &self,
        span: Duration,
        now: MonotonicTime,
        compute: impl FnOnce() -> Vec<UpstreamWorkRow>,
    ) -> Vec<UpstreamWorkRow> {
        let mut own = self.own_rows.lock();
        match &*own {
            Some((rows, at)) if now.since(*at) < span => rows.clone(),
            _ => own.insert((compute(), now)).0.clone(),
        }
    }

    /// Mean age of the figures of other routers.
    pub(super) fn mean_age(&self, now: MonotonicTime) -> Option<Duration> {
        let heard = self.heard.lock();
        match heard.host {
            Some(_) => heard.pool.mean_age(now),
            None => self.pool.lock().mean_age(now),
        }
    }
}

/// `row`, heard at `heard_at`, as it is at `now`.
fn aged(row: &UpstreamWorkRow, heard_at: MonotonicTime, now: MonotonicTime) -> UpstreamWorkRow {
    let figure = SlownessFigure::new(row.slowness, row.samples, heard_at);
    let is_known = figure.is_known(now);
    let load = row.load;
    UpstreamWorkRow {
        samples: if is_known { figure.samples(now) } else { 0.0 },
        load: load.and_then(|load| load.aged(load.stated_at(heard_at), now)),
        ..row.clone()
    }
}

fn is_known(row: &UpstreamWorkRow, heard_at: MonotonicTime, now: MonotonicTime) -> bool {
    let row = aged(row, heard_at, now);
    row.requests > 0 || row.samples > 0.0 || row.load.is_some()
}
