//! One link: its bounded send queue, its pending queries, and its read and write loops.

use std::collections::HashMap;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::names::HostName;
use ferry_kernel::http::ReadMeter;
use ferry_kernel::ticks;
use futures::stream::{SplitSink, SplitStream};
use futures::{FutureExt, SinkExt, StreamExt};
use parking_lot::Mutex;
use tokio::sync::oneshot::error::RecvError;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tokio_tungstenite::tungstenite::{Error as SocketError, Message};
use tokio_util::sync::CancellationToken;

use super::peer_frame::{EncodedFrame, PeerFrame, QueryOutcome};
use super::{
    PeerError, PeerHandler, PeerIdentity, PeerMessage, PeerSocket, PeerTopic, peer_metrics,
};

/// Maximum number of frames in a send queue.
const MAX_QUEUED_FRAMES: usize = 4_096;
/// Maximum size of a send queue, in bytes.
const MAX_QUEUED_BYTES: usize = 16 * 1_024 * 1_024;
/// Maximum number of notices of one link that wait for the handler.
const MAX_WAITING_NOTICES: usize = 4_096;
/// Maximum number of queries of one link that the handler runs at once.
const MAX_CONCURRENT_QUERIES: usize = 1_024;
/// Time between two pings.
const PING_PERIOD: Duration = Duration::from_secs(1);
/// Time without received data after which a link counts as failed.
const READ_TIMEOUT: Duration = Duration::from_secs(4);
/// Timeout of one write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time without anything at all, at the end of a wait in vain, after which a link counts as silent.
const SILENT_TIME: Duration = Duration::from_millis(500);
/// Bytes that come with pings and their replies alone; an answer that is on its way brings more.
const IDLE_BYTES: u64 = 256;

/// How long a query waits for its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplyTimes {
    /// While no part of it comes.
    pub silence: Duration,
    /// In total.
    pub total: Duration,
}

impl From<Duration> for ReplyTimes {
    /// A reply that must be complete after `timeout`.
    fn from(timeout: Duration) -> Self {
        Self {
            silence: timeout,
            total: timeout,
        }
    }
}

/// A link whose handshake is complete.
#[derive(Debug)]
pub struct PeerLink {
    peer: PeerIdentity,
    queue: mpsc::Sender<EncodedFrame>,
    /// Bytes in `queue`; at most [`MAX_QUEUED_BYTES`] plus one frame per sending thread.
    queued_bytes: AtomicUsize,
    /// Sent queries that wait for their reply, by query number.
    pending: Mutex<HashMap<u64, oneshot::Sender<QueryOutcome>>>,
    next_query: AtomicU64,
    closing: CancellationToken,
    /// Bytes of all frames that the router's links have sent.
    sent_bytes: Arc<AtomicU64>,
    /// What was received on this link.
    received: ReadMeter,
    /// Bytes that had been received when the link counted as silent; `u64::MAX` if it never did.
    silent_at: AtomicU64,
}

/// The receiving end of a link's send queue.
pub type FrameQueue = mpsc::Receiver<EncodedFrame>;

impl PeerLink {
    /// Creates a link to `peer` that ends when `closing` is cancelled, and counts the bytes that it sends in `sent_bytes`; `received` measures what
    /// comes on it.
    pub fn new(
        peer: PeerIdentity,
        closing: CancellationToken,
        sent_bytes: Arc<AtomicU64>,
        received: ReadMeter,
    ) -> (Arc<Self>, FrameQueue) {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
        let link = Self {
            peer,
            queue: sender,
            queued_bytes: AtomicUsize::new(0),
            pending: Mutex::new(HashMap::new()),
            next_query: AtomicU64::new(0),
            closing,
            sent_bytes,
            received,
            silent_at: AtomicU64::new(u64::MAX),
        };
        (Arc::new(link), receiver)
    }

    /// Identity of the other end.
    pub fn peer(&self) -> &PeerIdentity {
        &self.peer
    }

    /// Closes the link once its queue is written.
    pub fn close(&self) {
        self.closing.cancel();
    }

    /// Queues `frame`; refuses it when the queue is full or the link is closing.
    pub fn send(&self, frame: EncodedFrame) -> Result<(), PeerError> {
        if self.closing.is_cancelled() {
            return Err(PeerError::NotConnected(self.host()));
        }
        let topic = frame.topic;
        let size = frame.bytes.len();
        let queued = self.queued_bytes.fetch_add(size, Ordering::AcqRel);
        let has_room = queued + size <= MAX_QUEUED_BYTES;
        if has_room && self.queue.try_send(frame).is_ok() {
            peer_metrics::change_queued(size as f64);
            return Ok(());
        }
        self.queued_bytes.fetch_sub(size, Ordering::AcqRel);
        peer_metrics::count_refused(topic);
        Err(PeerError::QueueFull(self.host()))
    }

    /// Whether a query waited in vain and nothing has come since.
    pub fn is_silent(&self) -> bool {
        self.silent_at.load(Ordering::Acquire) == self.received.bytes()
    }

    /// Sends a query and waits for its reply.
    pub async fn send_query(
        &self,
        topic: PeerTopic,
        body: Bytes,
        times: ReplyTimes,
    ) -> Result<Bytes, PeerError> {
        let id = self.next_query.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        let frame = PeerFrame::Query { id, topic, body }.to_wire()?;
        self.pending.lock().insert(id, sender);
        let _entry = PendingEntry { link: self, id };
        self.send(frame)?;
        match self.wait_for_reply(receiver, times).await? {
            Ok(QueryOutcome::Answer(body)) => Ok(body),
            Ok(QueryOutcome::Unanswered) => Err(PeerError::Unanswered(self.host())),
            Ok(QueryOutcome::Busy) => Err(PeerError::Busy(self.host())),
            Err(_) => Err(PeerError::LinkLost(self.host())),
        }
    }

    /// Waits as long as parts of an answer come.
    async fn wait_for_reply(
        &self,
        mut receiver: oneshot::Receiver<QueryOutcome>,
        times: ReplyTimes,
    ) -> Result<Result<QueryOutcome, RecvError>, PeerError> {
        let begun_at = Instant::now();
        let end = begun_at + times.total;
        let mut received = self.received.bytes();
        loop {
            let until = end.min(Instant::now() + times.silence);
            if let Ok(reply) = timeout_at(until, &mut receiver).await {
                return Ok(reply);
            }
            let before = std::mem::replace(&mut received, self.received.bytes());
            if received - before <= IDLE_BYTES || Instant::now() >= end {
                return Err(self.give_up(begun_at.elapsed(), received));
            }
        }
    }

    /// Why a reply is not waited for any more, after `waited` and `received` bytes; marks a link on which nothing comes.
    fn give_up(&self, waited: Duration, received: u64) -> PeerError {
        if waited.min(self.received.quiet_time()) < SILENT_TIME {
            return PeerError::TimedOut(self.host());
        }
        self.silent_at.store(received, Ordering::Release);
        PeerError::NothingCame(self.host())
    }

    /// Runs the link until it fails or is closed.
    pub async fn run(
        self: &Arc<Self>,
        socket: PeerSocket,
        queue: FrameQueue,
        handler: &PeerHandler,
    ) -> Result<(), PeerError> {
        let (sink, stream) = socket.split();
        let (inbox, notices) = mpsc::channel(MAX_WAITING_NOTICES);
        let result = tokio::select! {
            result = self.write_loop(sink, queue) => result,
            result = self.read_loop(stream, &inbox, handler) => result,
            () = handle_notices(notices, handler) => Ok(()),
        };
        self.closing.cancel();
        self.pending.lock().clear();
        result
    }

    /// Runs `work`, and closes the link once no query was sent on it for `idle_time`.
    pub async fn close_when_idle<T>(
        &self,
        idle_time: Duration,
        work: impl Future<Output = T>,
    ) -> T {
        tokio::pin!(work);
        loop {
            let queries = self.next_query.load(Ordering::Relaxed);
            tokio::select! {
                result = &mut work => return result,
                () = sleep(idle_time) => {}
            }
            if self.next_query.load(Ordering::Relaxed) == queries && self.pending.lock().is_empty()
            {
                self.close();
                return work.await;
            }
        }
    }

    fn host(&self) -> HostName {
        self.peer.host.clone()
    }

    /// Writes queued frames and pings; ends once the link is closing and the queue is written.
    async fn write_loop(
        &self,
        mut sink: SplitSink<PeerSocket, Message>,
        mut queue: FrameQueue,
    ) -> Result<(), PeerError> {
        let mut pings = ticks::every(PING_PERIOD);
        loop {
            let frame = tokio::select! {
                biased;
                Some(frame) = queue.recv() => Some(frame),
                () = self.closing.cancelled() => break,
                _ = pings.tick() => None,
            };
            let queued = frame.as_ref().map(|frame| (frame.topic, frame.encoded_at));
            let message = match frame {
                Some(frame) => self.dequeue_frame(frame),
                None => Message::Ping(Bytes::new()),
            };
            timeout(WRITE_TIMEOUT, sink.send(message))
                .await
                .map_err(|_| PeerError::Silent)?
                .map_err(|error| PeerError::Transport(error.to_string()))?;
            if let Some((topic, encoded_at)) = queued {
                peer_metrics::record_frame_time(topic, encoded_at.elapsed());
            }
        }
        let _ = timeout(WRITE_TIMEOUT, sink.close()).await;
        Ok(())
    }

    fn dequeue_frame(&self, frame: EncodedFrame) -> Message {
        let size = frame.bytes.len();
        self.queued_bytes.fetch_sub(size, Ordering::AcqRel);
        peer_metrics::change_queued(-(size as f64));
        self.sent_bytes.fetch_add(size as u64, Ordering::Relaxed);
        peer_metrics::count_sent(frame.topic, size);
        Message::Binary(frame.bytes)
    }

    async fn read_loop(
        self: &Arc<Self>,
        mut stream: SplitStream<PeerSocket>,
        inbox: &mpsc::Sender<PeerMessage>,
        handler: &PeerHandler,
    ) -> Result<(), PeerError> {
        let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_QUERIES));
        loop {
            let message = timeout(READ_TIMEOUT, stream.next())
                .await
                .map_err(|_| PeerError::Silent)?;
            match message {
                Some(Ok(Message::Binary(bytes))) => {
                    let frame = PeerFrame::from_wire(&bytes)?;
                    peer_metrics::count_received(frame.topic(), bytes.len());
                    self.handle_frame(frame, inbox, handler, &permits);
                }
                Some(Ok(Message::Ping(_) | Message::Pong(_))) => {}
                Some(Ok(Message::Text(_) | Message::Frame(_))) => {
                    return Err(PeerError::Malformed(
                        "received a message that is not binary".to_owned(),
                    ));
                }
                Some(Ok(Message::Close(_))) | None => return Ok(()),
                Some(Err(error)) => return Err(read_error(&error)),
            }
        }
    }

    fn handle_frame(
        self: &Arc<Self>,
        frame: PeerFrame,
        inbox: &mpsc::Sender<PeerMessage>,
        handler: &PeerHandler,
        permits: &Arc<Semaphore>,
    ) {
        match frame {
            PeerFrame::Notice { topic, body } => {
                if inbox.try_send(self.message(topic, body)).is_err() {
                    peer_metrics::count_dropped(topic);
                }
            }
            PeerFrame::Query { id, topic, body } => {
                self.answer_query(id, self.message(topic, body), handler, permits);
            }
            PeerFrame::Reply { id, outcome, .. } => {
                if let Some(waiter) = self.pending.lock().remove(&id) {
                    let _ = waiter.send(outcome);
                }
            }
        }
    }

    fn message(&self, topic: PeerTopic, body: Bytes) -> PeerMessage {
        PeerMessage {
            from: self.host(),
            topic,
            body,
        }
    }

    /// Runs the handler in its own task, so that a slow reply does not block the read loop.
    fn answer_query(
        self: &Arc<Self>,
        id: u64,
        message: PeerMessage,
        handler: &PeerHandler,
        permits: &Arc<Semaphore>,
    ) {
        let topic = message.topic;
        let Ok(permit) = Arc::clone(permits).try_acquire_owned() else {
            self.reply(id, topic, QueryOutcome::Busy);
            return;
        };
        let handler = Arc::clone(handler);
        let link = Arc::clone(self);
        tokio::spawn(async move {
            let outcome = match call_handler(&handler, message).await {
                Some(body) => QueryOutcome::Answer(body),
                None => QueryOutcome::Unanswered,
            };
            link.reply(id, topic, outcome);
            drop(permit);
        });
    }

    fn reply(&self, id: u64, topic: PeerTopic, outcome: QueryOutcome) {
        let sent = PeerFrame::Reply { id, topic, outcome }
            .to_wire()
            .and_then(|frame| self.send(frame));
        if let Err(error) = sent {
            spdlog::debug!("reply to a peer's query not sent: {}", error);
        }
    }
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        let left = self.queued_bytes.load(Ordering::Acquire);
        peer_metrics::change_queued(-(left as f64));
    }
}

/// Removes a pending query when the future that waits for its reply ends or is dropped.
struct PendingEntry<'a> {
    link: &'a PeerLink,
    id: u64,
}

impl Drop for PendingEntry<'_> {
    fn drop(&mut self) {
        self.link.pending.lock().remove(&self.id);
    }
}

/// Passes notices to the handler in the order of arrival.
async fn handle_notices(mut notices: mpsc::Receiver<PeerMessage>, handler: &PeerHandler) {
    while let Some(message) = notices.recv().await {
        call_handler(handler, message).await;
    }
}

/// Runs the handler; a panic in it is logged and treated as no reply.
async fn call_handler(handler: &PeerHandler, message: PeerMessage) -> Option<Bytes> {
    let topic = message.topic;
    let call = AssertUnwindSafe(async { handler(message).await });
    call.catch_unwind().await.unwrap_or_else(|_| {
        spdlog::error!("handler of a peer message panicked", kv: { topic = topic.as_str() });
        None
    })
}

fn read_error(error: &SocketError) -> PeerError {
    match error {
        SocketError::Capacity(_) | SocketError::Protocol(_) | SocketError::Utf8(_) => {
            PeerError::Malformed(error.to_string())
        }
        _ => PeerError::Transport(error.to_string()),
    }
}
