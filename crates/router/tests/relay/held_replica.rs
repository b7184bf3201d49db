//! An upstream that begins its answers without framing, and ends them together: as a process that ends, or as one that lives on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use ferry_decisions::registry::{UpstreamRecord, UpstreamStage};
use ferry_decisions::time::UnixMillis;
use ferry_platform::entries::encode_upstream;
use ferry_platform::headers::AnswerHeaders;
use ferry_platform::store::UPSTREAM_TOPIC;
use hyper::HeaderMap;
use parking_lot::Mutex;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::deployment::{Deployment, loopback};
use crate::raw_replica::{answer_head, header_lines, raw_record, read_run};

/// Part of an answer that is sent at once.
const BEGINNING: &str = "id: 1\ndata: part 1\n\n";
/// Time for which the upstream asks for no requests.
const PAUSE: Duration = Duration::from_secs(30);

/// What the upstream answers to new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldAnswer {
    /// The beginning of an answer, which is held until the end.
    Begin,
    /// A refusal that says that the upstream is leaving.
    Leaving,
    /// A refusal that asks for a pause.
    Pause,
}

/// A running upstream.
#[derive(Debug, Clone)]
pub struct HeldReplica {
    id: String,
    address: SocketAddr,
    state: Arc<HeldState>,
}

#[derive(Debug)]
struct HeldState {
    /// Identifier of the process that listens.
    id: Mutex<String>,
    answer: Mutex<HeldAnswer>,
    /// Answers that were begun.
    begun: AtomicUsize,
    /// Cancelled to end the answers.
    finished: CancellationToken,
    /// Cancelled to end the process: its port refuses connections from then on.
    ended: CancellationToken,
}

impl HeldReplica {
    /// Starts an upstream with id `id`, and registers it.
    pub async fn start(deployment: &Deployment, id: &str) -> Self {
        let listener = TcpListener::bind(loopback()).await.unwrap();
        let replica = Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            state: Arc::new(HeldState {
                id: Mutex::new(id.to_owned()),
                answer: Mutex::new(HeldAnswer::Begin),
                begun: AtomicUsize::new(0),
                finished: CancellationToken::new(),
                ended: CancellationToken::new(),
            }),
        };
        tokio::spawn(replica.state.clone().serve(listener));
        replica.register(deployment, UpstreamStage::Ready, 1);
        replica
    }

    /// Address that the upstream listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes its entry with the number `sequence`.
    pub fn register(&self, deployment: &Deployment, stage: UpstreamStage, sequence: u64) {
        self.register_at(deployment, self.address, stage, sequence);
    }

    /// Writes its entry with the address of a proxy in front of it.
    pub fn register_at(
        &self,
        deployment: &Deployment,
        address: SocketAddr,
        stage: UpstreamStage,
        sequence: u64,
    ) {
        let record = UpstreamRecord {
            stage,
            sequence,
            slots: 64,
            ..raw_record(&self.id, address)
        };
        let store = &deployment.store;
        store.put(UPSTREAM_TOPIC, &self.id, &encode_upstream(&record));
    }

    /// Sets what new requests are answered.
    pub fn answer_with(&self, answer: HeldAnswer) {
        *self.state.answer.lock() = answer;
    }

    /// Number of answers that were begun.
    pub fn begun(&self) -> usize {
        self.state.begun.load(Ordering::Acquire)
    }

    /// Ends the process: the port first, then all answers, as the system does.
    pub fn end(&self) {
        self.state.ended.cancel();
    }

    /// Ends the answers, which are whole with what was sent; the process lives on.
    pub fn finish_answers(&self) {
        self.state.finished.cancel();
    }

    /// Ends the process, and with it all answers, when the next one, with id `id`, already listens at its address: a router that was suspended
    /// meanwhile sees the end so.
    pub fn replace(&self, id: &str) {
        *self.state.id.lock() = id.to_owned();
        self.state.finished.cancel();
    }

    /// Writes the entry of the process's next start under its id.
    pub fn register_restart(&self, deployment: &Deployment) {
        let mut record = raw_record(&self.id, self.address);
        record.incarnation.started_at = Some(UnixMillis(2));
        let store = &deployment.store;
        store.put(UPSTREAM_TOPIC, &self.id, &encode_upstream(&record));
    }
}

impl HeldState {
    async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let accepted = self.ended.run_until_cancelled(listener.accept()).await;
            let Some(accepted) = accepted else {
                drop(listener);
                self.finished.cancel();
                return;
            };
            tokio::spawn(self.clone().answer(accepted.unwrap().0));
        }
    }

    async fn answer(self: Arc<Self>, mut stream: TcpStream) {
        let id = self.id.lock().clone();
        let Some(bound) = read_run(&mut stream, &id).await else {
            return;
        };
        let answer = *self.answer.lock();
        if answer != HeldAnswer::Begin {
            let _ = stream
                .write_all(refusal(answer, bound.attempt_id).as_bytes())
                .await;
            return;
        }
        let head = answer_head(bound.attempt_id);
        let beginning = format!("{head}\r\n{BEGINNING}");
        if stream.write_all(beginning.as_bytes()).await.is_ok() {
            self.begun.fetch_add(1, Ordering::AcqRel);
            self.finished.cancelled().await;
        }
    }
}

/// Head of a refusal that gives a notice.
fn refusal(answer: HeldAnswer, attempt_id: String) -> String {
    let mut headers = HeaderMap::new();
    let answer = AnswerHeaders {
        attempt_id,
        not_run: true,
        leaves: answer == HeldAnswer::Leaving,
        pause: (answer == HeldAnswer::Pause).then_some(PAUSE),
        ..AnswerHeaders::default()
    };
    answer.write(&mut headers);
    let lines = header_lines(&headers);
    format!("HTTP/1.1 503 X\r\n{lines}Content-Length: 0\r\n\r\n")
}
