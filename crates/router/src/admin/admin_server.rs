//! Handles the requests of operators.
//!
//! - `GET /healthz`, `GET /readyz`: without a token.
//! - `GET /metrics`, `GET /status`, `GET /config`, `GET /config/spread/{offset}`,
//!   `GET /verdicts/{change}`, `GET /explain/{request}`: with `Authorization: Bearer ADMIN_TOKEN`.

use std::sync::Arc;

use ferry_kernel::http::{HttpBody, full, json_response};
use ferry_kernel::metrics;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use serde_json::json;
use subtle::ConstantTimeEq;
use uuid::Uuid;

use super::status_of;
use crate::core::{LifecyclePhase, RouterCore};

/// Body of an error response.
#[derive(Debug, Serialize)]
struct AdminError<'a> {
    error: &'a str,
}

/// Answers one request of an operator.
pub async fn handle(core: Arc<RouterCore>, request: Request<Incoming>) -> Response<HttpBody> {
    let path = request.uri().path();
    match path {
        "/healthz" => return text("ok\n"),
        "/readyz" => return readiness(&core),
        _ => {}
    }
    if !is_authorized(&core, &request) {
        return error(
            StatusCode::UNAUTHORIZED,
            "send `Authorization: Bearer TOKEN` with the admin token of the settings",
        );
    }
    if request.method() != Method::GET {
        return error(StatusCode::METHOD_NOT_ALLOWED, "use GET");
    }
    handle_authorized(&core, path)
}

fn handle_authorized(core: &RouterCore, path: &str) -> Response<HttpBody> {
    match path {
        "/metrics" => text(&metrics::render()),
        "/status" => json_response(StatusCode::OK, &status_of(core)),
        "/config" => match core.config.snapshot() {
            Some(snapshot) => json_response(StatusCode::OK, &snapshot),
            None => error(StatusCode::NOT_FOUND, "no configuration was published yet"),
        },
        _ => lookup(core, path),
    }
}

fn lookup(core: &RouterCore, path: &str) -> Response<HttpBody> {
    if let Some(id) = path.strip_prefix("/explain/") {
        return match core.traces.find(id) {
            Some(trace) => json_response(StatusCode::OK, trace.as_ref()),
            None => error(
                StatusCode::NOT_FOUND,
                "this router keeps no trail of the request; ask the router that answered it",
            ),
        };
    }
    if let Some(id) = path.strip_prefix("/verdicts/") {
        let verdict = Uuid::parse_str(id)
            .ok()
            .and_then(|id| core.config.verdict(id));
        return match verdict {
            Some((offset, verdict)) => json_response(
                StatusCode::OK,
                &json!({ "offset": offset, "verdict": verdict }),
            ),
            None => error(StatusCode::NOT_FOUND, "this router has not read the change"),
        };
    }
    if let Some(offset) = path.strip_prefix("/config/spread/") {
        return propagation(core, offset);
    }
    error(
        StatusCode::NOT_FOUND,
        "use /status, /config, /config/spread/OFFSET, /metrics, /explain/REQUEST or /verdicts/CHANGE",
    )
}

/// Reports the propagation of the configuration record at `offset` in the fleet.
fn propagation(core: &RouterCore, offset: &str) -> Response<HttpBody> {
    match offset.parse() {
        Ok(offset) => {
            let status = core.members.propagation(offset, core.config.position());
            json_response(StatusCode::OK, &status)
        }
        Err(_) => error(StatusCode::BAD_REQUEST, "write the offset as a number"),
    }
}

fn readiness(core: &RouterCore) -> Response<HttpBody> {
    if core.phase() != LifecyclePhase::Serving {
        return error(StatusCode::SERVICE_UNAVAILABLE, "the router stops");
    }
    match core.lease.check() {
        Ok(()) => text("ready\n"),
        Err(problem) => error(StatusCode::SERVICE_UNAVAILABLE, &problem.to_string()),
    }
}

fn is_authorized(core: &RouterCore, request: &Request<Incoming>) -> bool {
    let token = request
        .headers()
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.strip_prefix("Bearer "));
    let expected = core.settings.secrets.admin_token.as_bytes();
    token.is_some_and(|token| token.as_bytes().ct_eq(expected).into())
}

fn text(content: &str) -> Response<HttpBody> {
    let mut response = Response::new(full(content.to_owned()));
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, plain);
    response
}

fn error(status: StatusCode, error: &str) -> Response<HttpBody> {
    json_response(status, &AdminError { error })
}
