//! The caller's response, made from an upstream's answer.

use bytes::Bytes;
use ferry_kernel::http::{HttpBody, empty, full, streamed};
use ferry_platform::headers::answer_headers;
use futures::stream;
use hyper::Response;
use hyper::http::response::Parts;

use super::RelayRun;
use super::event_pump::EventPump;
use super::upstream_send::UpstreamAnswer;

/// A response whose body is at hand.
pub fn deliver_whole(head: &Parts, body: Bytes) -> Response<HttpBody> {
    with_head(head, full(body))
}

/// A response whose events are passed on as they come.
pub fn deliver_events(run: RelayRun, answer: UpstreamAnswer) -> Response<HttpBody> {
    let mut response = with_head(&answer.head, empty());
    let pump = EventPump::new(run, answer);
    let events = stream::unfold(pump, |mut pump| async move {
        let event = pump.next().await?;
        Some((event, pump))
    });
    *response.body_mut() = streamed(events);
    response
}

fn with_head(head: &Parts, body: HttpBody) -> Response<HttpBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = answer_headers(&head.headers);
    response
}
