//! Where a described request would go now, and why.

use ferry_decisions::choice::ChoicePoints;
use serde::{Deserialize, Serialize};

/// Description of a request whose placement is to be explained.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementRequest {
    /// Host that the caller calls.
    #[serde(default)]
    pub host: String,
    /// Path that the caller calls.
    #[serde(default)]
    pub path: String,
    /// Model; one of the rule's cascade counts as chosen by the router, another one as named by the caller. If absent, the one at which the router would start.
    #[serde(default)]
    pub model: Option<String>,
    /// Parts of the prompt in order, each as `ID:TOKENS`, with the identifier in hexadecimal digits.
    #[serde(default)]
    pub parts: Vec<String>,
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Maximum tokens of the answer.
    #[serde(default)]
    pub answer_tokens: u32,
    /// The caller's estimate of the number of answer tokens.
    #[serde(default)]
    pub hint: Option<u32>,
    /// Workspace of the caller, in place of a key.
    #[serde(default)]
    pub workspace: Option<String>,
    /// Key of the caller.
    #[serde(default)]
    pub key: Option<String>,
    /// Conversation that the request belongs to.
    #[serde(default)]
    pub session: Option<String>,
    /// Time for which the caller waits, in milliseconds; the rule's timeout if absent or longer.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Upstreams that have failed the request.
    #[serde(default)]
    pub tried: Vec<String>,
    /// Random numbers of the choice; drawn if absent.
    #[serde(default)]
    pub points: Option<PlacementPoints>,
}

/// Random numbers of a choice, each in `0.0..1.0`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementPoints {
    /// Selects the first candidate.
    pub first: f64,
    /// Selects the second candidate.
    pub second: f64,
}

/// Why a request is not explained.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlacementRequestError {
    /// The description is no JSON object of the expected form.
    #[error("the description of the request cannot be read ({0}); correct or remove that field")]
    Malformed(String),
    /// The host or the path is missing.
    #[error("the host or the path is missing; give both")]
    NoAddress,
    /// A part of the prompt is malformed.
    #[error(
        "{0:?} is no part of a prompt; write it as ID:TOKENS, with the identifier in hexadecimal digits"
    )]
    BadPart(String),
    /// A random number is out of range.
    #[error("the random number {0} is not from 0 to below 1; take those that an answer stated")]
    BadPoint(String),
    /// Both a workspace and a key are given.
    #[error("both a workspace and a key are given; give one of them")]
    TwoCallers,
    /// No rules are known yet.
    #[error("this router knows no rules yet; ask again, or ask another router")]
    NotReady,
    /// No rule matches.
    #[error("no rule is for this host and path; compare them with the routes of the configuration")]
    UnknownRoute,
    /// The rule cannot be read.
    #[error("the rule for this host and path cannot be read; write the configuration again")]
    UnreadableRule,
    /// The rule asks for a key, and none that is known is given.
    #[error("the workspace or key is missing or not known; give a workspace of the configuration")]
    UnknownCaller,
}

/// Where a request would go now, and why.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacementReport {
    /// Name of the router's host.
    pub host: String,
    /// Availability zone of the router.
    pub zone: String,
    /// Rule that applies to the request.
    pub rule: String,
    /// Revision of the configuration.
    pub revision: u64,
    /// Service that the request goes to; empty if the request is rejected before one is picked.
    pub service: String,
    /// Model; empty if the upstream chooses it.
    pub model: String,
    /// Stage of the rule's cascade at which the request starts; absent if the description names a model, the rule has no cascade, or the request is
    /// rejected before.
    #[serde(default)]
    pub start: Option<StartReport>,
    /// Part of such requests that is within the fair share of their workspace, 1 without contention; absent if shares are not checked.
    #[serde(default)]
    pub share: Option<f64>,
    /// Whether the choice goes by expected work; otherwise by request counts, since the class is not known yet.
    pub by_work: bool,
    /// Time left for the answer, in milliseconds.
    pub time_left_ms: u64,
    /// Random numbers of the choice.
    pub points: PlacementPoints,
    /// Upstream that the request would be sent to; absent if it would be rejected.
    pub chosen: Option<String>,
    /// Whether a permit would be asked for before.
    pub asks_permit: bool,
    /// Rejection that the caller would get; absent if the request would be sent.
    pub rejection: Option<RejectionReport>,
    /// All upstreams of the service, sorted by name.
    pub candidates: Vec<CandidateReport>,
    /// Time since the configuration was last confirmed, in milliseconds.
    pub rules_age_ms: u64,
    /// Time since the upstreams' entries were last confirmed, in milliseconds.
    pub upstreams_age_ms: u64,
}

/// Start stage of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartReport {
    /// Index in the rule's cascade.
    pub stage: usize,
    /// Reason, as named in logs and metrics.
    pub reason: String,
}

/// Rejection of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectionReport {
    /// Reason, as named in logs and metrics.
    pub reason: String,
    /// Explanation that the caller gets.
    pub detail: String,
    /// HTTP status.
    pub status: u16,
    /// Value of Retry-After in milliseconds; absent if none is sent.
    pub retry_after_ms: Option<u64>,
}

/// One upstream, as the choice sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CandidateReport {
    /// Identifier of the upstream.
    pub upstream: String,
    /// Its availability zone.
    pub zone: String,
    /// Its version.
    pub version: String,
    /// Why the request would not be sent to it; empty for a candidate.
    pub excluded: Vec<Exclusion>,
    /// Whether a send to it needs a permit.
    pub needs_permit: bool,
    /// Whether it is cold and a limit is in force.
    pub is_cold: bool,
    /// Expected time to completion, in milliseconds; absent while the class is not known.
    pub expected_ms: Option<u64>,
    /// Time to completion that nine of ten such requests do not exceed.
    pub expected_high_ms: Option<u64>,
    /// Requests of this router there.
    pub own_requests: u32,
    /// Expected time that is left of them, summed.
    pub own_work_ms: u64,
    /// Requests of the other routers there, by their reports.
    pub others_requests: u32,
    /// Expected time that is left of them, summed.
    pub others_work_ms: u64,
    /// Age of the oldest of these reports; absent if there is none.
    pub others_age_ms: Option<u64>,
    /// Time of runs as a multiple of the expected one.
    pub slowness: f64,
    /// Time that work takes on its machine now as a multiple of the usual one.
    pub contention: f64,
    /// Age of the figure of the contention; absent if the mean is taken for want of one.
    pub contention_age_ms: Option<u64>,
    /// Age of the load that it stated last; absent if it stated none to this router.
    pub load_age_ms: Option<u64>,
}

/// Why a request is not sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Exclusion {
    /// Its availability zone is evacuated.
    Evacuated,
    /// It is in no region that the rule and the workspace allow.
    RegionNotAllowed,
    /// It is reached through a router only to which the request must not be passed.
    NoAllowedPath,
    /// It asked for a pause.
    Pausing,
    /// It is cold, and no permit is expected now.
    ColdWithoutPermit,
    /// It has a limit, and no permit is expected now.
    AtLimit,
    /// It runs a version that the roll-out does not allow for the request, or that is not confirmed.
    OtherVersion,
    /// It is leaving.
    Leaving,
    /// It rejected a request a moment ago because it is full; used if no other one is left.
    Full,
    /// It broke or refused a connection a moment ago, or is not reached; used if no other one is left.
    Suspect,
    /// It has failed the request.
    Tried,
}

impl PlacementRequest {
    /// Reads a description from JSON.
    ///
    /// # Errors
    ///
    /// Fails when `body` is no description.
    pub fn read(body: &[u8]) -> Result<Self, PlacementRequestError> {
        serde_json::from_slice(body)
            .map_err(|error| PlacementRequestError::Malformed(error.to_string()))
    }

    /// Random numbers of the choice, if they are given.
    pub(crate) fn choice_points(&self) -> Result<Option<ChoicePoints>, PlacementRequestError> {
        let Some(points) = self.points else {
            return Ok(None);
        };
        for point in [points.first, points.second] {
            if !(0.0..1.0).contains(&point) {
                return Err(PlacementRequestError::BadPoint(point.to_string()));
            }
        }
        Ok(Some(ChoicePoints {
            first: points.first,
            second: points.second,
            turn: 0,
        }))
    }
}
