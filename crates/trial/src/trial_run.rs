//! State that the steps share: the deployment, its caller, and the answers that the caller received.

use ferry_decisions::names::RequestId;
use ferry_rig::{ChatCall, ChatResult, RigClient};
use parking_lot::Mutex;

use crate::bills::AnswerTally;
use crate::deployment::{TRIAL_KEY, TrialDeployment};

/// State of one run of the tour.
pub struct TrialRun {
    /// Running deployment.
    pub deployment: TrialDeployment,
    /// Client with the key of the sample workspace.
    pub caller: RigClient,
    /// Answers that the caller received.
    pub tally: Mutex<AnswerTally>,
    /// Session that the session step started; `None` before that step, or when it failed to start one.
    pub session: Option<TrialSession>,
}

/// A session and the model version that it started on.
#[derive(Debug, Clone)]
pub struct TrialSession {
    /// Session token.
    pub token: String,
    /// Model version of its first answer.
    pub version: String,
}

impl TrialRun {
    /// Creates the state at the start of the tour.
    pub fn new(deployment: TrialDeployment) -> Self {
        Self {
            deployment,
            caller: RigClient::new(TRIAL_KEY),
            tally: Mutex::default(),
            session: None,
        }
    }

    /// Sends `call` with the identifier `id` to router `index`, and records an answer in the tally.
    pub async fn send(&self, index: usize, id: &RequestId, call: ChatCall) -> ChatResult {
        let address = self.deployment.routers[index].callers.to_string();
        self.send_to(&address, id, call).await
    }

    /// Same as [`TrialRun::send`], for the router whose callers' port is at `address`.
    pub async fn send_to(&self, address: &str, id: &RequestId, call: ChatCall) -> ChatResult {
        let result = self.caller.chat(address, &call.id(id.as_str())).await;
        if let ChatResult::Answered(answer) = &result {
            self.tally.lock().record(id, answer.completion_tokens);
        }
        result
    }

    /// Sends `call` to router `index` with a new identifier.
    pub async fn send_new(&self, index: usize, call: ChatCall) -> ChatResult {
        self.send(index, &RequestId::generate(), call).await
    }

    /// Returns the host name of router `index`.
    pub fn router(&self, index: usize) -> &str {
        &self.deployment.routers[index].host
    }
}
