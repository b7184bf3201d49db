//! An upstream on raw sockets that is brittle: it breaks down when it has to reject too many requests in a second, and comes back as a new process.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::registry::{UpstreamIncarnation, UpstreamRecord, UpstreamStage};
use ferry_decisions::time::UnixMillis;
use ferry_platform::entries::encode_upstream;
use ferry_platform::headers::{AnswerHeaders, LoadFacts};
use ferry_platform::store::UPSTREAM_TOPIC;
use ferry_standin::StoreStandin;
use hyper::HeaderMap;
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::deployment::{SERVICE, loopback};
use crate::raw_replica::{header_lines, read_request};

/// Requests that run at once.
pub const SLOTS: u32 = 4;
/// Time for which one runs.
pub const RUN_TIME: Duration = Duration::from_millis(200);
/// Requests that may wait before fewer may, and from then on.
const LONG_QUEUE: u32 = 24;
pub const SHORT_QUEUE: u32 = 3;
/// Rejections in a second that it survives.
pub const SURVIVED: u32 = 3;
/// Time between a break down and the return.
pub const AWAY_TIME: Duration = Duration::from_secs(3);
/// Span in which rejections are counted.
const SPAN: Duration = Duration::from_secs(1);

/// When upstreams say that they are brittle, and when fewer may wait and rejections break them down.
#[derive(Debug, Clone, Copy)]
pub struct BrittleTimes {
    pub says_so: Instant,
    pub queues_few: Instant,
    pub ends: Instant,
}

/// Under which id an upstream returns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReturnName {
    Same,
    New,
}

/// A brittle upstream, which goes on under several processes.
#[derive(Debug)]
pub struct BrittleUpstream {
    name: String,
    zone: &'static str,
    times: BrittleTimes,
    returns_as: ReturnName,
    state: Mutex<UpstreamState>,
    /// Ends the present process.
    process: Mutex<CancellationToken>,
}

#[derive(Debug, Default)]
struct UpstreamState {
    running: u32,
    waiting: u32,
    rejected: VecDeque<Instant>,
    falls: Vec<Instant>,
    rejections: u32,
    arrivals: Vec<(String, Instant)>,
}

impl UpstreamState {
    /// Forgets what belongs to the process that has ended.
    fn begin_process(&mut self) {
        self.running = 0;
        self.waiting = 0;
        self.rejected.clear();
    }
}

impl BrittleUpstream {
    /// Starts an upstream and registers it.
    pub async fn start(
        store: &StoreStandin,
        name: &str,
        zone: &'static str,
        times: BrittleTimes,
        returns_as: ReturnName,
    ) -> Arc<Self> {
        let upstream = Arc::new(Self {
            name: name.to_owned(),
            zone,
            times,
            returns_as,
            state: Mutex::default(),
            process: Mutex::default(),
        });
        let listener = TcpListener::bind(loopback()).await.unwrap();
        upstream.register(store, &listener, 1);
        tokio::spawn(Arc::clone(&upstream).live(store.clone(), listener));
        upstream
    }

    /// When it broke down because of its rejections.
    pub fn falls(&self) -> Vec<Instant> {
        self.state.lock().falls.clone()
    }

    /// Number of requests that it rejected.
    pub fn rejections(&self) -> u32 {
        self.state.lock().rejections
    }

    /// Attempt and time of each request that reached it.
    pub fn arrivals(&self) -> Vec<(String, Instant)> {
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

    /// Serves as one process after the other.
    async fn live(self: Arc<Self>, store: StoreStandin, mut listener: TcpListener) {
        for life in 2.. {
            let process = self.process.lock().clone();
            tokio::select! {
                () = Arc::clone(&self).serve(listener, process.clone()) => {}
                () = process.cancelled() => {}
            }
            sleep(AWAY_TIME).await;
            self.state.lock().begin_process();
            *self.process.lock() = CancellationToken::new();
            listener = TcpListener::bind(loopback()).await.unwrap();
            self.register(&store, &listener, life);
        }
    }

    fn id(&self, life: u64) -> String {
        match self.returns_as {
            ReturnName::Same => self.name.clone(),
            ReturnName::New => format!("{}-{life}", self.name),
        }
    }

    fn register(&self, store: &StoreStandin, listener: &TcpListener, life: u64) {
        if self.returns_as == ReturnName::New && life > 1 {
            store.put(UPSTREAM_TOPIC, &self.id(life - 1), &[]);
        }
        let record = UpstreamRecord {
            incarnation: UpstreamIncarnation {
                id: self.id(life).as_str().into(),
                started_at: Some(UnixMillis(life)),
            },
            service: SERVICE.into(),
            address: listener.local_addr().unwrap(),
            zone: self.zone.into(),
            version: "v1".into(),
            slots: SLOTS,
            stage: UpstreamStage::Ready,
            warm_up: Duration::ZERO,
            sequence: 1,
        };
        store.put(UPSTREAM_TOPIC, &self.id(life), &encode_upstream(&record));
    }

    async fn serve(self: Arc<Self>, listener: TcpListener, process: CancellationToken) {
        let slots = Arc::new(Semaphore::new(SLOTS as usize));
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let connection = Arc::clone(&self).serve_connection(stream, Arc::clone(&slots));
            tokio::spawn(process.clone().run_until_cancelled_owned(connection));
        }
    }

    async fn serve_connection(self: Arc<Self>, mut stream: TcpStream, slots: Arc<Semaphore>) {
        while let Some(bound) = read_request(&mut stream).await {
            let arrival = (bound.attempt_id.clone(), Instant::now());
            self.state.lock().arrivals.push(arrival);
            let answer = match self.admit() {
                Some(waiting) => tokio::select! {
                    () = self.run(&slots, waiting) => self.answer(&bound.attempt_id, "200 OK", "ran"),
                    // The caller has closed the connection.
                    _ = stream.read_u8() => return,
                },
                None => {
                    let answer = self.answer(&bound.attempt_id, "503 Service Unavailable", "");
                    self.reject();
                    answer
                }
            };
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Lets a request wait if there is room for one more.
    fn admit(&self) -> Option<CountGuard<'_>> {
        let queue = match self.is_endangered() {
            true => SHORT_QUEUE,
            false => LONG_QUEUE,
        };
        let mut state = self.state.lock();
        let admits = state.running + state.waiting < SLOTS + queue;
        admits.then(|| {
            state.waiting += 1;
            CountGuard::new(&self.state, |state| &mut state.waiting)
        })
    }

    async fn run(&self, slots: &Semaphore, waiting: CountGuard<'_>) {
        let _slot = slots.acquire().await.unwrap();
        drop(waiting);
        self.state.lock().running += 1;
        let _running = CountGuard::new(&self.state, |state| &mut state.running);
        sleep(RUN_TIME).await;
    }

    fn reject(&self) {
        let now = Instant::now();
        let mut state = self.state.lock();
        state.rejections += 1;
        state.rejected.push_back(now);
        state.rejected.retain(|at| now - *at < SPAN);
        if state.rejected.len() > SURVIVED as usize && self.is_endangered() {
            state.falls.push(now);
            self.process.lock().cancel();
        }
    }

    fn is_brittle(&self) -> bool {
        Instant::now() >= self.times.says_so && !self.has_ended()
    }

    /// Whether it lets few requests wait, and breaks down by rejections: some time after it has said so first.
    fn is_endangered(&self) -> bool {
        Instant::now() >= self.times.queues_few && !self.has_ended()
    }

    fn has_ended(&self) -> bool {
        Instant::now() >= self.times.ends
    }

    fn answer(&self, attempt_id: &str, status: &str, body: &str) -> String {
        let is_success = !body.is_empty();
        let state = self.state.lock();
        let load = LoadFacts {
            running: state.running,
            waiting: state.waiting,
            slots: SLOTS,
        };
        drop(state);
        let headers = AnswerHeaders {
            attempt_id: attempt_id.to_owned(),
            signature: is_success.then(|| "signed".to_owned()),
            not_run: !is_success,
            load: Some(load),
            rejections: self.is_brittle().then_some(SURVIVED),
            ..AnswerHeaders::default()
        };
        let mut lines = HeaderMap::new();
        headers.write(&mut lines);
        let lines = header_lines(&lines);
        let length = body.len();
        format!("HTTP/1.1 {status}\r\n{lines}Content-Length: {length}\r\n\r\n{body}")
    }
}

/// Counts one request less when it is dropped, as when its connection closes.
struct CountGuard<'a> {
    state: &'a Mutex<UpstreamState>,
    count: fn(&mut UpstreamState) -> &mut u32,
}

impl<'a> CountGuard<'a> {
    fn new(state: &'a Mutex<UpstreamState>, count: fn(&mut UpstreamState) -> &mut u32) -> Self {
        Self { state, count }
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.state.lock();
        let count = (self.count)(&mut state);
        // A new process has begun at zero.
        *count = count.saturating_sub(1);
    }
}
