//! A brittle upstream that goes on under several processes.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::registry::{UpstreamIncarnation, UpstreamRecord, UpstreamStage};
use ferry_decisions::time::UnixMillis;
use ferry_platform::entries::encode_upstream;
use ferry_platform::store::UPSTREAM_TOPIC;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::brittle_process::BrittleProcess;
use super::brittle_state::BrittleState;
use super::{AnswerPlan, Arrival, BrittleOptions, BrittleTimes, Rejection, ReturnName};
use crate::StoreStandin;

/// Pause between two attempts to bind a port.
const BIND_PAUSE: Duration = Duration::from_millis(50);

/// A brittle upstream.
#[derive(Debug)]
pub struct BrittleStandin {
    pub(super) options: BrittleOptions,
    times: Mutex<Option<BrittleTimes>>,
    plan: Mutex<AnswerPlan>,
    pub(super) state: Mutex<BrittleState>,
    /// Ends the present process.
    process: Mutex<CancellationToken>,
}

impl BrittleStandin {
    /// Starts an upstream, which is not brittle yet, and registers it in `store`.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn start(
        store: &StoreStandin,
        options: BrittleOptions,
        plan: AnswerPlan,
    ) -> io::Result<Arc<Self>> {
        let upstream = Arc::new(Self {
            options,
            times: Mutex::default(),
            plan: Mutex::new(plan),
            state: Mutex::default(),
            process: Mutex::default(),
        });
        let listener = bind().await?;
        upstream.state.lock().begin_process();
        upstream.register(store, listener.local_addr()?);
        tokio::spawn(Arc::clone(&upstream).live(store.clone(), listener));
        Ok(upstream)
    }

    /// Sets when it is brittle.
    pub fn schedule(&self, times: BrittleTimes) {
        *self.times.lock() = Some(times);
    }

    /// Whether it says that it is brittle now.
    pub(super) fn is_brittle(&self) -> bool {
        let times = *self.times.lock();
        times.is_some_and(|times| times.is_brittle())
    }

    /// Whether few requests may wait, and rejections break it down now.
    pub(super) fn is_endangered(&self) -> bool {
        let times = *self.times.lock();
        times.is_some_and(|times| times.is_endangered())
    }

    /// Sets how later requests are answered.
    pub fn plan(&self, plan: AnswerPlan) {
        *self.plan.lock() = plan;
    }

    /// How requests are answered now.
    pub(super) fn present_plan(&self) -> AnswerPlan {
        *self.plan.lock()
    }

    /// When it broke down because of its rejections.
    pub fn falls(&self) -> Vec<Instant> {
        self.state.lock().falls.clone()
    }

    /// Requests that it rejected.
    pub fn rejections(&self) -> Vec<Rejection> {
        self.state.lock().rejections.clone()
    }

    /// Requests that reached it.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.lock().arrivals.clone()
    }

    /// Number of requests that it runs.
    pub fn running(&self) -> u32 {
        self.state.lock().running
    }

    /// Ends its process for another reason than rejections.
    pub fn crash(&self) {
        self.process.lock().cancel();
    }

    /// Rejects a request; breaks down if that is one too many.
    pub(super) fn reject(&self, attempt_id: &str) {
        let mut state = self.state.lock();
        let recent = state.reject(attempt_id);
        if recent > self.options.survived && self.is_endangered() {
            state.falls.push(Instant::now());
            self.process.lock().cancel();
        }
    }

    /// Serves as one process after the other.
    async fn live(self: Arc<Self>, store: StoreStandin, mut listener: TcpListener) {
        loop {
            let ending = self.process.lock().clone();
            let process = BrittleProcess::new(Arc::clone(&self), ending.clone());
            process.serve(listener).await;
            sleep(self.options.away_time).await;
            self.state.lock().begin_process();
            *self.process.lock() = CancellationToken::new();
            listener = loop {
                match bind().await {
                    Ok(listener) => break listener,
                    Err(_) => sleep(BIND_PAUSE).await,
                }
            };
            if let Ok(address) = listener.local_addr() {
                self.register(&store, address);
            }
        }
    }

    /// Identifier of its process number `life`.
    pub(super) fn id(&self, life: u64) -> String {
        match self.options.returns_as {
            ReturnName::Same => self.options.id.clone(),
            ReturnName::New => format!("{}-{life}", self.options.id),
        }
    }

    fn register(&self, store: &StoreStandin, address: SocketAddr) {
        let life = self.state.lock().life;
        if self.options.returns_as == ReturnName::New && life > 1 {
            store.put(UPSTREAM_TOPIC, &self.id(life - 1), &[]);
        }
        let record = UpstreamRecord {
            incarnation: UpstreamIncarnation {
                id: self.id(life).as_str().into(),
                started_at: Some(UnixMillis(life)),
            },
            service: self.options.service.as_str().into(),
            address,
            zone: self.options.zone.as_str().into(),
            version: "v1".into(),
            slots: self.options.slots,
            stage: UpstreamStage::Ready,
            warm_up: Duration::ZERO,
            sequence: 1,
        };
        store.put(UPSTREAM_TOPIC, &self.id(life), &encode_upstream(&record));
    }
}

async fn bind() -> io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await
}
