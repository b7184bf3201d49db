//! Reads the headers of a request.

use std::time::Duration;

use ferry_decisions::admission::PriorityClass;
use ferry_decisions::claim::RequestKey;
use ferry_decisions::labels::LabelSet;
use ferry_decisions::names::{RequestId, WorkspaceName};
use ferry_decisions::session::SessionToken;
use ferry_kernel::http::{ArrivalTime, HeldBody};
use hyper::HeaderMap;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::http::Extensions;
use tokio::time::Instant;

use super::{CallerRefusal, RefusalKind};
use crate::core::RouterCore;

/// Maximum length of an identifier chosen by the caller, in bytes.
const ID_LIMIT: usize = 128;
/// Maximum number of labels of a request.
const LABEL_LIMIT: usize = 32;
/// Header with the identifier of the request.
const ID_HEADER: &str = "idempotency-key";
/// Header that states whether the request may run more than once.
const IDEMPOTENT_HEADER: &str = "ferry-idempotent";
/// Header with the time left until the deadline, in milliseconds.
const DEADLINE_HEADER: &str = "ferry-deadline-ms";
/// Header with a session token, or `new`.
pub const SESSION_HEADER: &str = "ferry-session";
/// Header with the priority class of the request.
const CLASS_HEADER: &str = "ferry-class";
/// Header with labels, `key=value` separated by commas.
const LABELS_HEADER: &str = "ferry-labels";

/// Session requested by the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum SessionRequest {
    /// No session.
    None,
    /// Start a new session.
    New,
    /// Continue the session of this token.
    Continue(SessionToken),
}

/// Properties of a request, read from its headers.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Identifier, chosen by the caller or else generated here.
    pub id: RequestId,
    /// Workspace of the API key.
    pub workspace: WorkspaceName,
    /// Priority class.
    pub class: PriorityClass,
    /// Labels that configured rules match on.
    pub labels: LabelSet,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time at which the request arrived at this host, as far as the system tells.
    pub arrived: Instant,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
    /// Session requested by the caller.
    pub session: SessionRequest,
}

impl CallerRequest {
    /// Key of the request in claims and bills.
    pub fn key(&self) -> RequestKey {
        RequestKey::new(&self.workspace, &self.id)
    }

    /// Reads the headers of a request with these `extensions`; `idempotent` is the default if they do not state it.
    ///
    /// # Errors
    ///
    /// Returns a refusal that names the problem or the header, and the remedy.
    pub fn read(
        core: &RouterCore,
        headers: &HeaderMap,
        extensions: &Extensions,
        idempotent: bool,
    ) -> Result<Self, CallerRefusal> {
        let arrived = ArrivalTime::of(extensions);
        let workspace = authenticate(core, headers)?;
        let idempotent = read_idempotent(headers)?.unwrap_or(idempotent);
        let id = read_id(headers, idempotent)?;
        let deadline = arrived + read_deadline(core, headers)?;
        let class = read_class(headers)?;
        let labels = read_labels(headers)?;
        let session = read_session(core, headers, &workspace)?;
        Ok(Self {
            id,
            workspace,
            class,
            labels,
            idempotent,
            arrived,
            deadline,
            session,
        })
    }

    /// Time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Reads the body of `request`, whose memory counts as taken as long as the body is held.
pub async fn collect_body(
    core: &RouterCore,
    request: &CallerRequest,
    body: Incoming,
) -> Result<HeldBody, CallerRefusal> {
    let limit = core.settings.limits.body_bytes;
    let collecting = core.request_memory.collect(body, limit, request.deadline);
    Ok(collecting.await?)
}

/// Identifier chosen by the caller if it is valid, for refusals of requests that cannot be read.
pub fn caller_chosen_id(headers: &HeaderMap) -> Option<RequestId> {
    let text = headers.get(ID_HEADER)?.to_str().ok()?;
    (is_id(text)).then(|| RequestId::new(text))
}

fn authenticate(core: &RouterCore, headers: &HeaderMap) -> Result<WorkspaceName, CallerRefusal> {
    let key = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.strip_prefix("Bearer "));
    let view = core.config.view();
    let workspace = key.and_then(|key| view.workspace_of_key(key.trim()));
    workspace.cloned().ok_or_else(|| {
        CallerRefusal::permanent(
            RefusalKind::Unauthenticated,
            "the key is missing or belongs to no workspace; send `Authorization: Bearer KEY` with a key of your workspace",
        )
    })
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, CallerRefusal> {
    match headers.get(name).map(|value| value.to_str()) {
        None => Ok(None),
        Some(Ok(text)) => Ok(Some(text.trim())),
        Some(Err(_)) => Err(bad_header(name, "write visible ASCII characters only")),
    }
}

fn bad_header(name: &str, remedy: &str) -> CallerRefusal {
    CallerRefusal::permanent(RefusalKind::BadRequest, format!("{name}: {remedy}"))
}

fn read_idempotent(headers: &HeaderMap) -> Result<Option<bool>, CallerRefusal> {
    match header(headers, IDEMPOTENT_HEADER)? {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => Err(bad_header(IDEMPOTENT_HEADER, "write true or false")),
    }
}

fn read_id(headers: &HeaderMap, idempotent: bool) -> Result<RequestId, CallerRefusal> {
    let Some(text) = header(headers, ID_HEADER)? else {
        return Ok(RequestId::generate());
    };
    if !is_id(text) {
        return Err(bad_header(
            ID_HEADER,
            "write 1 to 128 visible characters without spaces",
        ));
    }
    let id = RequestId::new(text);
    if !idempotent && id.time_ms().is_none() {
        return Err(bad_header(
            ID_HEADER,
            "a request that is not idempotent needs a UUIDv7, whose time bounds how long it is remembered",
        ));
    }
    Ok(id)
}

fn is_id(text: &str) -> bool {
    !text.is_empty() && text.len() <= ID_LIMIT && text.bytes().all(|b| b.is_ascii_graphic())
}

fn read_deadline(core: &RouterCore, headers: &HeaderMap) -> Result<Duration, CallerRefusal> {
    let limits = &core.settings.limits;
    let Some(text) = header(headers, DEADLINE_HEADER)? else {
        return Ok(Duration::from_millis(limits.default_deadline_ms));
    };
    match text.parse::<u64>() {
        Ok(ms) if (1..=limits.longest_deadline_ms).contains(&ms) => Ok(Duration::from_millis(ms)),
        _ => Err(bad_header(
            DEADLINE_HEADER,
            &format!(
                "write whole milliseconds from 1 to {}",
                limits.longest_deadline_ms
            ),
        )),
    }
}

fn read_class(headers: &HeaderMap) -> Result<PriorityClass, CallerRefusal> {
    match header(headers, CLASS_HEADER)? {
        None => Ok(PriorityClass::default()),
        Some(text) => PriorityClass::parse(text)
            .ok_or_else(|| bad_header(CLASS_HEADER, "write urgent, normal or batch")),
    }
}

fn read_labels(headers: &HeaderMap) -> Result<LabelSet, CallerRefusal> {
    let text = header(headers, LABELS_HEADER)?.unwrap_or_default();
    let pairs = text.split(',').filter(|part| !part.trim().is_empty());
    let pairs: Option<Vec<_>> = pairs.map(|part| part.trim().split_once('=')).collect();
    match pairs {
        Some(pairs) if pairs.len() <= LABEL_LIMIT => Ok(LabelSet::from_iter(pairs)),
        Some(_) => Err(bad_header(LABELS_HEADER, "send at most 32 labels")),
        None => Err(bad_header(
            LABELS_HEADER,
            "write key=value pairs separated by commas",
        )),
    }
}

fn read_session(
    core: &RouterCore,
    headers: &HeaderMap,
    workspace: &WorkspaceName,
) -> Result<SessionRequest, CallerRefusal> {
    match header(headers, SESSION_HEADER)? {
        None => Ok(SessionRequest::None),
        Some("new") => Ok(SessionRequest::New),
        Some(text) => {
            let token = core.sessions.verify(text, workspace)?;
            Ok(SessionRequest::Continue(token))
        }
    }
}
