//! Callers that send streamed requests until they are stopped.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use ferry_decisions::names::RequestId;
use ferry_platform::engine::ChatMessage;
use ferry_rig::{ChatCall, ChatResult, RigAnswer, RigClient};
use ferry_standin::digest::message_digest;
use futures::future::join_all;
use serde_json::{Map, Value};
use tokio::task::JoinHandle;

/// Number of callers of each router.
const CALLERS_PER_ROUTER: usize = 6;
/// Number of tokens of each answer.
const ANSWER_TOKENS: u32 = 24;

/// Load in progress.
#[derive(Debug)]
pub struct CallerLoad {
    is_stopping: Arc<AtomicBool>,
    callers: Vec<JoinHandle<LoadResult>>,
}

/// Outcomes of the requests of a load.
#[derive(Debug, Default, Clone)]
pub struct LoadResult {
    /// Identifiers of requests with a complete answer.
    pub answered: Vec<String>,
    /// Identifiers of requests that were refused as not run.
    pub not_run: Vec<String>,
    /// Answers that are incomplete or belong to another request.
    pub wrong: Vec<String>,
    /// Messages of answers that broke off, and of refusals of requests that may have run.
    pub broken: Vec<String>,
}

impl CallerLoad {
    /// Starts callers of `model` on each of `addresses`.
    pub fn start(client: &RigClient, addresses: &[String], model: &str) -> Self {
        let is_stopping = Arc::new(AtomicBool::new(false));
        let mut callers = Vec::new();
        for address in addresses {
            for _ in 0..CALLERS_PER_ROUTER {
                let caller = send_until_stopped(
                    client.clone(),
                    address.clone(),
                    model.to_owned(),
                    Arc::clone(&is_stopping),
                );
                callers.push(tokio::spawn(caller));
            }
        }
        Self {
            is_stopping,
            callers,
        }
    }

    /// Lets every caller finish its request and returns the outcomes of all callers.
    pub async fn stop(self) -> LoadResult {
        self.is_stopping.store(true, Ordering::Release);
        let mut total = LoadResult::default();
        for result in join_all(self.callers).await {
            total.add(result.expect("the task of a caller does not panic"));
        }
        total
    }
}

impl LoadResult {
    fn add(&mut self, other: Self) {
        self.answered.extend(other.answered);
        self.not_run.extend(other.not_run);
        self.wrong.extend(other.wrong);
        self.broken.extend(other.broken);
    }

    fn record(&mut self, id: String, text: &str, result: ChatResult) {
        match result {
            ChatResult::Answered(answer) if is_own(&answer, &id, text) => self.answered.push(id),
            ChatResult::Answered(answer) => self.wrong.push(format!("{id}: {answer:?}")),
            ChatResult::Refused(refusal) if refusal.run == "not_run" => self.not_run.push(id),
            ChatResult::Refused(refusal) => self.broken.push(refusal.detail),
            ChatResult::Broken(reason) => self.broken.push(reason),
        }
    }
}

async fn send_until_stopped(
    client: RigClient,
    address: String,
    model: String,
    is_stopping: Arc<AtomicBool>,
) -> LoadResult {
    let mut total = LoadResult::default();
    while !is_stopping.load(Ordering::Acquire) {
        let id = RequestId::generate().to_string();
        let text = format!("Summarise case {id}");
        let call = ChatCall::new(&model, &text).id(&id).tokens(ANSWER_TOKENS);
        let result = client.chat(&address, &call).await;
        let refused = !matches!(result, ChatResult::Answered(_));
        total.record(id, &text, result);
        if refused {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    }
    total
}

/// Whether the answer is complete and contains the digest of the message of its own request.
fn is_own(answer: &RigAnswer, id: &str, text: &str) -> bool {
    let message = ChatMessage {
        role: "user".to_owned(),
        content: Value::from(text),
        rest: Map::new(),
    };
    answer.request_id == id
        && answer.completion_tokens == u64::from(ANSWER_TOKENS)
        && answer.text.contains(&message_digest(&[message]))
}
