//! Answers as a caller of the fleet sees them.

use serde::Deserialize;
use serde_json::Value;

/// What came of one call.
#[derive(Debug, Clone)]
pub enum ChatResult {
    /// A whole answer.
    Answered(RigAnswer),
    /// A refusal.
    Refused(Refusal),
    /// The connection failed or the answer broke off visibly.
    Broken(String),
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct RigAnswer {
    /// Identifier of the request.
    pub request_id: String,
    /// Version that answered.
    pub version: String,
    /// Session token, if the answer carries one.
    pub session: Option<String>,
    /// Text of the answer.
    pub text: String,
    /// Completion tokens that the answer reports.
    pub completion_tokens: u64,
}

/// A refusal as its problem document describes it.
#[derive(Debug, Clone, Deserialize)]
pub struct Refusal {
    /// Problem type.
    pub r#type: String,
    /// Status.
    pub status: u16,
    /// What is wrong and what to do about it.
    pub detail: String,
    /// Whether the request ran: `not_run`, `may_have_run` or `ran`.
    pub run: String,
    /// Seconds after which to come back, from the header.
    #[serde(skip)]
    pub retry_after: Option<u64>,
    /// All other fields.
    #[serde(flatten)]
    pub rest: serde_json::Map<String, Value>,
}

impl ChatResult {
    /// The answer.
    ///
    /// # Panics
    ///
    /// Panics when there is none.
    pub fn answer(self) -> RigAnswer {
        match self {
            Self::Answered(answer) => answer,
            other => panic!("expected an answer, got {other:?}"),
        }
    }

    /// The refusal.
    ///
    /// # Panics
    ///
    /// Panics when there is none.
    pub fn refusal(self) -> Refusal {
        match self {
            Self::Refused(refusal) => refusal,
            other => panic!("expected a refusal, got {other:?}"),
        }
    }
}

impl Refusal {
    /// Last part of the problem type.
    pub fn kind(&self) -> &str {
        self.r#type.rsplit(':').next().unwrap_or_default()
    }
}
