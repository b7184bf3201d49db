//! One request of a caller, with the route rule that applies to it.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::names::WorkspaceName;
use ferry_decisions::quarantine::RequestFingerprint;
use ferry_decisions::ruleset::{
    AllowedRegions, KeyHolder, KeyVerdict, RouteRule, RuleMatch, RuleSet,
};
use ferry_decisions::workload::plausible_hint;
use ferry_kernel::http::{ArrivalTime, BodyError, RequestMemory};
use ferry_platform::headers::{PromptFacts, PromptPart, RequestFacts};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request};
use tokio::time::{Instant, timeout_at};

use super::{RefusalReason, RelayRefusal};
use crate::relay::status::{PlacementRequest, PlacementRequestError};

/// Highest rank number, which is the lowest priority, that a request can have at an upstream.
const MAX_RANK: u8 = 9;
/// Identifier of requests that are only described; their conversation where they name none.
const EXPLAINED_ID: &str = "explained";

/// A request whose head and body have been read.
#[derive(Debug)]
pub struct RelayRequest {
    /// Identifier of the caller's attempt.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub target: String,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Complete body, at most as long as the rules allow.
    pub body: Bytes,
    /// Values parsed from the headers.
    pub facts: RequestFacts,
    /// Route rule that applies to the request.
    pub rule: Arc<RouteRule>,
    /// Holder of the request's key; absent for public routes.
    pub holder: Option<KeyHolder>,
    /// Revision of the rules that were last applied to the request.
    pub revision: u64,
    /// When the request arrived at this host, as far as the system tells; its caller's time counts from then.
    pub arrived_at: Instant,
    /// When the request's head was read.
    pub read_at: Instant,
    /// When the caller stops waiting; the rule's timeout if the caller named no deadline.
    pub deadline: Instant,
    /// Time by which the request must be answered: the earlier of `deadline` and the rule's timeout.
    pub answer_deadline: Instant,
    /// Fingerprint, computed when it is first needed.
    fingerprint: OnceLock<RequestFingerprint>,
}

impl RelayRequest {
    /// Matches a request, whose head was read at `read_at`, to its rule and reads its body; `facts` are the values parsed from its headers.
    ///
    /// # Errors
    ///
    /// Fails when no rule matches, the key is unknown, the attempt identifier is missing, or the body is
    /// too long, cut off, not complete before the deadline, or finds no room in `memory`.
    pub async fn read(
        request: Request<Incoming>,
        facts: RequestFacts,
        rules: &RuleSet,
        memory: &RequestMemory,
        read_at: Instant,
    ) -> Result<Self, RelayRefusal> {
        let (head, body) = request.into_parts();
        let (rule, holder) = apply_rules(rules, &head.headers, head.uri.path(), &facts)?;
        let id = facts
            .attempt_id
            .clone()
            .ok_or(RelayRefusal::not_run(RefusalReason::Malformed))?;
        let arrived_at = ArrivalTime::of(&head.extensions).min(read_at);
        let rule_deadline = arrived_at + rule.timeout;
        let deadline = facts
            .deadline
            .map_or(rule_deadline, |wait| arrived_at + wait);
        let answer_deadline = deadline.min(rule_deadline);
        let body = read_body(body, rules.limits.body_bytes, memory, answer_deadline).await?;
        Ok(Self {
            id,
            target: target_of(&head),
            method: head.method,
            headers: head.headers,
            body,
            facts,
            rule,
            holder,
            revision: rules.revision,
            arrived_at,
            read_at,
            deadline,
            answer_deadline,
            fingerprint: OnceLock::new(),
        })
    }

    /// A request of which only `described` is known: it has no headers and no body.
    ///
    /// # Errors
    ///
    /// Fails when the description is malformed, no rule matches, or its caller is not known.
    pub fn described(
        described: &PlacementRequest,
        rules: &RuleSet,
    ) -> Result<Self, PlacementRequestError> {
        if described.host.is_empty() || described.path.is_empty() {
            return Err(PlacementRequestError::NoAddress);
        }
        let rule = match rules.find_rule(&described.host, &described.path) {
            RuleMatch::Rule(rule) => Arc::clone(rule),
            RuleMatch::Unreadable => return Err(PlacementRequestError::UnreadableRule),
            RuleMatch::Unknown => return Err(PlacementRequestError::UnknownRoute),
        };
        let verdict = match (&described.workspace, &described.key) {
            (Some(_), Some(_)) => return Err(PlacementRequestError::TwoCallers),
            (Some(workspace), None) => rules.check_workspace(workspace),
            (None, key) => rules.check_key(&rule, key.as_deref()),
        };
        let holder = match verdict {
            KeyVerdict::Open => None,
            KeyVerdict::Held(holder) => Some(holder.clone()),
            KeyVerdict::Unknown => return Err(PlacementRequestError::UnknownCaller),
        };
        let parts = described.parts.iter().map(|text| {
            PromptPart::parse(text).ok_or_else(|| PlacementRequestError::BadPart(text.clone()))
        });
        let hint = described.hint.map(|hint| hint.to_string());
        let facts = RequestFacts {
            deadline: described.deadline_ms.map(Duration::from_millis),
            prompt: PromptFacts {
                prompt_tokens: described.prompt_tokens,
                answer_tokens: described.answer_tokens,
                parts: parts.collect::<Result<_, _>>()?,
            },
            length_hint: plausible_hint(hint.as_deref()),
            session: described.session.clone(),
            ..RequestFacts::default()
        };
        let now = Instant::now();
        let rule_deadline = now + rule.timeout;
        let wait = facts.deadline.and_then(|wait| now.checked_add(wait));
        let deadline = wait.unwrap_or(rule_deadline);
        Ok(Self {
            id: EXPLAINED_ID.to_owned(),
            method: Method::POST,
            target: described.path.clone(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            facts,
            rule,
            holder,
            revision: rules.revision,
            arrived_at: now,
            read_at: now,
            deadline,
            answer_deadline: deadline.min(rule_deadline),
            fingerprint: OnceLock::new(),
        })
    }

    /// Applies `rules` if their revision differs from the one applied last.
    ///
    /// # Errors
    ///
    /// Fails when the new rules have no route for the request or no longer accept its key.
    pub fn refresh(&mut self, rules: &RuleSet) -> Result<(), RelayRefusal> {
        if rules.revision == self.revision {
            return Ok(());
        }
        let path = self.target.split('?').next().unwrap_or_default();
        let (rule, holder) = apply_rules(rules, &self.headers, path, &self.facts)?;
        self.answer_deadline = self.deadline.min(self.arrived_at + rule.timeout);
        self.rule = rule;
        self.holder = holder;
        self.fingerprint = OnceLock::new();
        self.revision = rules.revision;
        Ok(())
    }

    /// Time left until the answer deadline.
    pub fn time_left(&self) -> Duration {
        self.answer_deadline
            .saturating_duration_since(Instant::now())
    }

    /// Workspace of the caller; absent for public routes.
    pub fn workspace(&self) -> Option<&WorkspaceName> {
        self.holder.as_ref().map(|holder| &holder.workspace)
    }

    /// Regions in which the request may be handled: those that its rule and its workspace both allow.
    pub fn allowed_regions(&self) -> AllowedRegions {
        let rule = &self.rule.regions;
        match &self.holder {
            Some(holder) => rule.and(&holder.regions),
            None => rule.clone(),
        }
    }

    /// Fingerprint of workspace, target and body: equal whenever the caller sends the same request again.
    pub fn fingerprint(&self) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            let no_workspace = WorkspaceName::new("");
            let workspace = self.workspace().unwrap_or(&no_workspace);
            RequestFingerprint::of(workspace, &self.target, &self.body)
        })
    }

    /// Rank in the upstream's queue, 0 first; the key holder's priority overrides the rule's.
    pub fn rank(&self) -> u8 {
        let own = self.holder.as_ref().and_then(|holder| holder.priority);
        own.unwrap_or(self.rule.priority).min(MAX_RANK)
    }

    /// Identifier shared by all requests of a conversation; the attempt identifier where no session is named.
    pub fn conversation_id(&self) -> &str {
        self.facts.session.as_deref().unwrap_or(&self.id)
    }
}

/// Finds the rule of a request and the holder of its key.
fn apply_rules(
    rules: &RuleSet,
    headers: &HeaderMap,
    path: &str,
    facts: &RequestFacts,
) -> Result<(Arc<RouteRule>, Option<KeyHolder>), RelayRefusal> {
    let host = headers
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default();
    let rule = match rules.find_rule(host, path) {
        RuleMatch::Rule(rule) => rule,
        RuleMatch::Unreadable => return Err(RelayRefusal::not_run(RefusalReason::UnreadableRule)),
        RuleMatch::Unknown => return Err(RelayRefusal::not_run(RefusalReason::UnknownRoute)),
    };
    match rules.check_key(rule, facts.key.as_deref()) {
        KeyVerdict::Open => Ok((Arc::clone(rule), None)),
        KeyVerdict::Held(holder) => Ok((Arc::clone(rule), Some(holder.clone()))),
        KeyVerdict::Unknown => Err(RelayRefusal::not_run(RefusalReason::UnknownKey)),
    }
}

async fn read_body(
    body: Incoming,
    limit: usize,
    memory: &RequestMemory,
    until: Instant,
) -> Result<Bytes, RelayRefusal> {
    let reading = memory.collect(body, limit, until);
    let reason = match timeout_at(until, reading).await {
        Ok(Ok(body)) => return Ok(body.into_bytes()),
        Ok(Err(BodyError::TooLarge { .. })) => RefusalReason::BodyTooLarge,
        Ok(Err(BodyError::Truncated(_) | BodyError::Silent { .. })) => RefusalReason::Malformed,
        Ok(Err(BodyError::NoRoom { .. })) => RefusalReason::NoMemory,
        Err(_) => RefusalReason::DeadlinePassed,
    };
    Err(RelayRefusal::not_run(reason))
}

fn target_of(head: &Parts) -> String {
    let target = head.uri.path_and_query();
    target.map_or_else(|| "/".to_owned(), ToString::to_string)
}
