//! Callers that send streamed requests until they are told to end.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use ferry_decisions::names::RequestId;
use ferry_platform::engine::ChatMessage;
use ferry_rig::{ChatCall, ChatResult, RigAnswer, RigClient};
use ferry_standin::digest::message_digest;
use futures::future::join_all;
use serde_json::{Map, Value};
use tokio::task::JoinHandle;

/// Callers of each router.
const CALLERS_PER_ROUTER: usize = 6;
/// Tokens of each answer.
const ANSWER_TOKENS: u32 = 24;

/// Load in progress.
#[derive(Debug)]
pub struct CallerLoad {
    ending: Arc<AtomicBool>,
    callers: Vec<JoinHandle<LoadResult>>,
}

/// What callers got.
#[derive(Debug, Default, Clone)]
pub struct LoadResult {
    /// Identifiers of requests that were answered whole.
    pub answered: Vec<String>,
    /// Identifiers of requests that were refused as not run.
    pub not_run: Vec<String>,
    /// Answers that were another request's or not whole.
    pub wrong: Vec<String>,
    /// Messages of answers that broke off.
    pub broken: Vec<String>,
}

impl CallerLoad {
    /// Starts callers of `model` on each of `addresses`.
    pub fn start(client: &RigClient, addresses: &[String], model: &str) -> Self {
        let ending = Arc::new(AtomicBool::new(false));
        let mut callers = Vec::new();
        for address in addresses {
            for _ in 0..CALLERS_PER_ROUTER {
                let caller = call_on(
                    client.clone(),
                    address.clone(),
                    model.to_owned(),
                    Arc::clone(&ending),
                );
                callers.push(tokio::spawn(caller));
            }
        }
        Self { ending, callers }
    }

    /// Lets every caller finish its request and adds up what they got.
    pub async fn end(self) -> LoadResult {
        self.ending.store(true, Ordering::Release);
        let mut sum = LoadResult::default();
        for result in join_all(self.callers).await {
            sum.add(result.expect("no caller fails"));
        }
        sum
    }
}

impl LoadResult {
    fn add(&mut self, other: Self) {
        self.answered.extend(other.answered);
        self.not_run.extend(other.not_run);
        self.wrong.extend(other.wrong);
        self.broken.extend(other.broken);
    }

    fn take(&mut self, id: String, text: &str, result: ChatResult) {
        match result {
            ChatResult::Answered(answer) if is_own(&answer, &id, text) => self.answered.push(id),
            ChatResult::Answered(answer) => self.wrong.push(format!("{id}: {answer:?}")),
            ChatResult::Refused(refusal) if refusal.run == "not_run" => self.not_run.push(id),
            ChatResult::Refused(refusal) => self.broken.push(refusal.detail),
            ChatResult::Broken(reason) => self.broken.push(reason),
        }
    }
}

async fn call_on(
    client: RigClient,
    address: String,
    model: String,
    ending: Arc<AtomicBool>,
) -> LoadResult {
    let mut sum = LoadResult::default();
    while !ending.load(Ordering::Acquire) {
        let id = RequestId::generate().to_string();
        let text = format!("Summarise case {id}");
        let call = ChatCall::new(&model, &text).id(&id).tokens(ANSWER_TOKENS);
        let result = client.chat(&address, &call).await;
        let refused = !matches!(result, ChatResult::Answered(_));
        sum.take(id, &text, result);
        if refused {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    }
    sum
}

/// Whether the answer is whole and carries the digest of its own request.
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
