//! State that the steps share: the deployment, its caller, and what the caller got.

use ferry_decisions::names::RequestId;
use ferry_rig::{ChatCall, ChatResult, RigClient};
use parking_lot::Mutex;

use crate::bills::AnswerTally;
use crate::deployment::{TRIAL_KEY, TrialDeployment};

/// State of one tour.
pub struct TrialRun {
    /// What runs.
    pub deployment: TrialDeployment,
    /// Caller with the key of the sample workspace.
    pub caller: RigClient,
    /// Answers that the caller got.
    pub tally: Mutex<AnswerTally>,
    /// Session that a step started, with its version.
    pub session: Option<TrialSession>,
}

/// A session and the version that it started on.
#[derive(Debug, Clone)]
pub struct TrialSession {
    /// Token of the session.
    pub token: String,
    /// Version of its first answer.
    pub version: String,
}

impl TrialRun {
    /// A tour that has not begun.
    pub fn new(deployment: TrialDeployment) -> Self {
        Self {
            deployment,
            caller: RigClient::new(TRIAL_KEY),
            tally: Mutex::default(),
            session: None,
        }
    }

    /// Sends `call` under `id` to router `index` and notes an answer in the tally.
    pub async fn ask(&self, index: usize, id: &RequestId, call: ChatCall) -> ChatResult {
        let address = self.deployment.routers[index].callers.to_string();
        self.ask_at(&address, id, call).await
    }

    /// As [`TrialRun::ask`], for the router with the callers' port at `address`.
    pub async fn ask_at(&self, address: &str, id: &RequestId, call: ChatCall) -> ChatResult {
        let result = self.caller.chat(address, &call.id(id.as_str())).await;
        if let ChatResult::Answered(answer) = &result {
            self.tally.lock().note(id, answer.completion_tokens);
        }
        result
    }

    /// Sends `call` to router `index` under a new identifier.
    pub async fn ask_new(&self, index: usize, call: ChatCall) -> ChatResult {
        self.ask(index, &RequestId::generate(), call).await
    }

    /// Name of router `index`.
    pub fn router(&self, index: usize) -> &str {
        &self.deployment.routers[index].host
    }
}
