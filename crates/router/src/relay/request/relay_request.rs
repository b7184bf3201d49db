//! One request with the rule that it falls under.

use std::sync::Arc;

use bytes::Bytes;
use ferry_decisions::names::WorkspaceName;
use ferry_decisions::quarantine::RequestFingerprint;
use ferry_decisions::ruleset::{KeyHolder, KeyVerdict, RouteRule, RuleSet};
use ferry_kernel::http::{BodyError, collect_limited};
use ferry_platform::headers::RequestFacts;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request};
use tokio::time::{Instant, timeout_at};

use super::{RefusalReason, RelayRefusal};

/// Highest rank that a request can have at an upstream.
const LAST_RANK: u8 = 9;

/// A request that was read as a whole.
#[derive(Debug)]
pub struct RelayRequest {
    /// Identifier of the caller's attempt.
    pub id: String,
    /// Method.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub target: String,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// What the headers say.
    pub facts: RequestFacts,
    /// Rule that it falls under.
    pub rule: Arc<RouteRule>,
    /// Holder of its key; absent where it needs none.
    pub holder: Option<KeyHolder>,
    /// Revision of the rules that were last applied to it.
    pub revision: u64,
    /// When its head was read.
    pub arrived: Instant,
    /// Until when the caller waits.
    pub deadline: Instant,
    /// When it gets its final answer at the latest.
    pub final_time: Instant,
}

impl RelayRequest {
    /// Matches a request, whose headers say `facts`, to its rule and reads its body.
    ///
    /// # Errors
    ///
    /// Fails when no rule is for it, its key is not known, or its body is too long or cut off.
    pub async fn read(
        request: Request<Incoming>,
        facts: RequestFacts,
        rules: &RuleSet,
        arrived: Instant,
    ) -> Result<Self, RelayRefusal> {
        let (head, body) = request.into_parts();
        let (rule, holder) = apply_rules(rules, &head.headers, head.uri.path(), &facts)?;
        let id = facts
            .attempt_id
            .clone()
            .ok_or(RelayRefusal::not_run(RefusalReason::Malformed))?;
        let by_rule = arrived + rule.timeout;
        let deadline = facts.deadline.map_or(by_rule, |wait| arrived + wait);
        let final_time = deadline.min(by_rule);
        let body = read_body(body, rules.limits.body_bytes, final_time).await?;
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
            arrived,
            deadline,
            final_time,
        })
    }

    /// Applies `rules` again if they changed since.
    ///
    /// # Errors
    ///
    /// Fails when they no longer allow the request.
    pub fn refresh(&mut self, rules: &RuleSet) -> Result<(), RelayRefusal> {
        if rules.revision == self.revision {
            return Ok(());
        }
        let path = self.target.split('?').next().unwrap_or_default();
        let (rule, holder) = apply_rules(rules, &self.headers, path, &self.facts)?;
        self.final_time = self.deadline.min(self.arrived + rule.timeout);
        self.rule = rule;
        self.holder = holder;
        self.revision = rules.revision;
        Ok(())
    }

    /// Workspace of the caller, if the request has a key.
    pub fn workspace(&self) -> Option<&WorkspaceName> {
        self.holder.as_ref().map(|holder| &holder.workspace)
    }

    /// Identity by content: the same for every time that the caller sends it.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let nobody = WorkspaceName::new("");
        let workspace = self.workspace().unwrap_or(&nobody);
        RequestFingerprint::of(workspace, &self.target, &self.body)
    }

    /// Rank at the upstream, 0 first; the workspace's takes precedence.
    pub fn rank(&self) -> u8 {
        let own = self.holder.as_ref().and_then(|holder| holder.priority);
        own.unwrap_or(self.rule.priority).min(LAST_RANK)
    }

    /// Text that stays the same over all requests of a conversation.
    pub fn affinity_text(&self) -> &str {
        self.facts.session.as_deref().unwrap_or(&self.id)
    }
}

/// The rule of a request and the holder of its key.
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
    let rule = rules
        .find_rule(host, path)
        .ok_or(RelayRefusal::not_run(RefusalReason::UnknownRoute))?;
    match rules.check_key(rule, facts.key.as_deref()) {
        KeyVerdict::Open => Ok((Arc::clone(rule), None)),
        KeyVerdict::Held(holder) => Ok((Arc::clone(rule), Some(holder.clone()))),
        KeyVerdict::Unknown => Err(RelayRefusal::not_run(RefusalReason::UnknownKey)),
    }
}

async fn read_body(body: Incoming, limit: usize, until: Instant) -> Result<Bytes, RelayRefusal> {
    let reason = match timeout_at(until, collect_limited(body, limit)).await {
        Ok(Ok(body)) => return Ok(body),
        Ok(Err(BodyError::TooLarge { .. })) => RefusalReason::BodyTooLarge,
        Ok(Err(BodyError::Truncated(_))) => RefusalReason::Malformed,
        Err(_) => RefusalReason::DeadlinePassed,
    };
    Err(RelayRefusal::not_run(reason))
}

fn target_of(head: &Parts) -> String {
    let target = head.uri.path_and_query();
    target.map_or_else(|| "/".to_owned(), ToString::to_string)
}
