//! Results of calls as a caller of the fleet sees them.

use serde::Deserialize;
use serde_json::Value;

/// Result of one call.
#[derive(Debug, Clone)]
pub enum ChatResult {
    /// A complete answer.
    Answered(RigAnswer),
    /// A refusal with a problem document.
    Refused(Refusal),
    /// The connection failed, or the answer was incomplete or malformed; holds the reason.
    Broken(String),
}

/// A complete answer, streamed or not.
#[derive(Debug, Clone)]
pub struct RigAnswer {
    /// Identifier of the request.
    pub request_id: String,
    /// Model version that answered, from the `ferry-version` header.
    pub version: String,
    /// Session token from the `ferry-session` header; `None` when the answer has none.
    pub session: Option<String>,
    /// Text of the answer.
    pub text: String,
    /// Completion tokens that the answer's usage data reports.
    pub completion_tokens: u64,
}

/// A refusal as its problem document describes it.
#[derive(Debug, Clone, Deserialize)]
pub struct Refusal {
    /// Problem type, a URN.
    pub r#type: String,
    /// HTTP status.
    pub status: u16,
    /// Cause of the refusal and its remedy.
    pub detail: String,
    /// Whether the request ran: `not_run`, `may_have_run` or `ran`.
    pub run: String,
    /// Seconds after which to retry, from the `Retry-After` header.
    #[serde(skip)]
    pub retry_after: Option<u64>,
    /// All other fields of the problem document.
    #[serde(flatten)]
    pub rest: serde_json::Map<String, Value>,
}

impl ChatResult {
    /// Returns the answer.
    ///
    /// # Panics
    ///
    /// Panics when the call was refused or failed.
    pub fn answer(self) -> RigAnswer {
        match self {
            Self::Answered(answer) => answer,
            other => panic!("expected an answer, got {other:?}"),
        }
    }

    /// Returns the refusal.
    ///
    /// # Panics
    ///
    /// Panics when the call was answered or failed.
    pub fn refusal(self) -> Refusal {
        match self {
            Self::Refused(refusal) => refusal,
            other => panic!("expected a refusal, got {other:?}"),
        }
    }
}

impl Refusal {
    /// Last part of the problem type, such as `queue_full`.
    pub fn kind(&self) -> &str {
        self.r#type.rsplit(':').next().unwrap_or_default()
    }
}
