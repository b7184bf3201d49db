//! One process of a brittle upstream: its slots, its queue and its connections.

use std::sync::Arc;
use std::time::Duration;

use ferry_platform::headers::{AnswerHeaders, BoundRequest, LoadFacts};
use hyper::HeaderMap;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::brittle_standin::BrittleStandin;
use super::brittle_state::{Arrival, CountGuard};
use crate::raw_http::{header_lines, read_request};

/// Time for which a request waits that names no deadline.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Last chunk of a body.
const LAST_CHUNK: &str = "0\r\n\r\n";

/// One process.
#[derive(Debug, Clone)]
pub(super) struct BrittleProcess {
    upstream: Arc<BrittleStandin>,
    slots: Arc<Semaphore>,
    ending: CancellationToken,
}

/// What becomes of a request at its arrival or in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Admission {
    Runs,
    Rejected,
}

impl BrittleProcess {
    /// A process that ends when `ending` is cancelled.
    pub(super) fn new(upstream: Arc<BrittleStandin>, ending: CancellationToken) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(upstream.options.slots as usize)),
            upstream,
            ending,
        }
    }

    /// Serves the connections of `listener` until the process ends.
    pub(super) async fn serve(self, listener: TcpListener) {
        let ending = self.ending.clone();
        let accepting = async {
            while let Ok((stream, _)) = listener.accept().await {
                let connection = self.clone().serve_connection(stream);
                let connection = ending.clone().run_until_cancelled_owned(connection);
                tokio::spawn(connection);
            }
        };
        ending.run_until_cancelled(accepting).await;
    }

    async fn serve_connection(self, stream: TcpStream) {
        self.hold_for_link().await;
        let (mut reader, mut writer) = stream.into_split();
        while let Some(request) = read_request(&mut reader).await {
            let arrival = Arrival {
                attempt_id: request.attempt_id.clone(),
                at: tokio::time::Instant::now(),
            };
            self.upstream.state.lock().arrivals.push(arrival);
            if !self.answer(request, &mut reader, &mut writer).await {
                return;
            }
        }
    }

    /// Takes a slot for a new connection for a while.
    async fn hold_for_link(&self) {
        let time = self.upstream.present_plan().link_time;
        if time.is_zero() {
            return;
        }
        if let Ok(_slot) = self.slots.acquire().await {
            sleep(time).await;
        }
    }

    /// Answers a request; returns whether the connection can carry another one.
    async fn answer(
        &self,
        request: BoundRequest,
        reader: &mut OwnedReadHalf,
        writer: &mut OwnedWriteHalf,
    ) -> bool {
        let (pieces, mut answer) = mpsc::unbounded_channel();
        let run = self.clone().run(request, pieces);
        let keeps_abandoned = self.upstream.options.keeps_abandoned;
        let task = tokio::spawn(self.ending.clone().run_until_cancelled_owned(run));
        let forwarding = async {
            while let Some(piece) = answer.recv().await {
                if writer.write_all(piece.as_bytes()).await.is_err() {
                    return false;
                }
            }
            true
        };
        let is_complete = tokio::select! {
            is_complete = forwarding => is_complete,
            () = closed(reader) => false,
            () = self.ending.cancelled() => false,
        };
        if !is_complete && !keeps_abandoned {
            task.abort();
        }
        is_complete
    }

    /// Waits for a slot and runs the request, whose answer goes to `pieces`.
    async fn run(self, request: BoundRequest, pieces: mpsc::UnboundedSender<String>) {
        let write = |piece: String| {
            // Fails once nobody waits for the answer.
            let _ = pieces.send(piece);
        };
        let upstream = &self.upstream;
        if !self.is_own(&request) {
            write(self.head(&request, "421 Misdirected Request", Some(0)));
            return;
        }
        let waiting = {
            let mut state = upstream.state.lock();
            let has_room = state.running + state.waiting < self.room();
            has_room
                .then(|| CountGuard::begin(&upstream.state, &mut state, |state| &mut state.waiting))
        };
        let admission = match &waiting {
            Some(_) => self.wait_for_slot(&request).await,
            None => Admission::Rejected,
        };
        if admission == Admission::Rejected {
            drop(waiting);
            write(self.head(&request, "503 Service Unavailable", Some(0)));
            upstream.reject(&request.attempt_id);
            return;
        }
        let _slot = SlotGuard(&self.slots);
        drop(waiting);
        let _running = {
            let mut state = upstream.state.lock();
            CountGuard::begin(&upstream.state, &mut state, |state| &mut state.running)
        };
        self.work(&request, write).await;
    }

    async fn work(&self, request: &BoundRequest, write: impl Fn(String)) {
        let plan = self.upstream.present_plan();
        sleep(plan.run_time).await;
        if plan.events == 0 {
            write(self.head(request, "200 OK", Some(3)) + "ran");
            return;
        }
        write(self.head(request, "200 OK", None));
        let first = request.last_event.map_or(1, |last| last + 1);
        for event in first..=plan.events {
            if event > first {
                sleep(plan.gap).await;
            }
            let text = format!("id: {event}\ndata: part {event}\n\n");
            write(format!("{:x}\r\n{text}\r\n", text.len()));
        }
        write(LAST_CHUNK.to_owned());
    }

    /// Waits for a slot, for no longer than the request's time.
    async fn wait_for_slot(&self, request: &BoundRequest) -> Admission {
        let wait = request.time_left.unwrap_or(MAX_WAIT);
        match timeout(wait, self.slots.acquire()).await {
            Ok(Ok(slot)) => {
                slot.forget();
                Admission::Runs
            }
            _ => Admission::Rejected,
        }
    }

    fn is_own(&self, request: &BoundRequest) -> bool {
        let life = self.upstream.state.lock().life;
        let own = self.upstream.id(life);
        request.bound_to.as_ref().is_none_or(|id| *id == own)
    }

    /// Requests that may run and wait now.
    fn room(&self) -> u32 {
        let options = &self.upstream.options;
        let queue = match self.upstream.is_endangered() {
            true => options.short_queue,
            false => options.long_queue,
        };
        options.slots + queue
    }

    /// Head of an answer with `length` bytes, or in chunks.
    fn head(&self, request: &BoundRequest, status: &str, length: Option<usize>) -> String {
        let upstream = &self.upstream;
        let is_success = status.starts_with('2');
        let load = {
            let state = upstream.state.lock();
            LoadFacts {
                running: state.running,
                waiting: state.waiting,
                slots: upstream.options.slots,
                contention: None,
            }
        };
        let headers = AnswerHeaders {
            attempt_id: request.attempt_id.clone(),
            signature: is_success.then(|| "signed".to_owned()),
            not_run: !is_success,
            load: Some(load),
            rejections: upstream.is_brittle().then_some(upstream.options.survived),
            ..AnswerHeaders::default()
        };
        let mut lines = HeaderMap::new();
        headers.write(&mut lines);
        let lines = header_lines(&lines);
        let framing = match length {
            Some(length) => format!("Content-Length: {length}\r\n"),
            None => "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n".to_owned(),
        };
        format!("HTTP/1.1 {status}\r\n{lines}{framing}\r\n")
    }
}

/// Waits until the other end has closed the connection.
async fn closed(reader: &mut OwnedReadHalf) {
    if reader.peek(&mut [0]).await.is_ok_and(|length| length > 0) {
        // The next request has begun.
        std::future::pending::<()>().await;
    }
}

/// Gives a slot back when it is dropped.
struct SlotGuard<'a>(&'a Semaphore);

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.0.add_permits(1);
    }
}
