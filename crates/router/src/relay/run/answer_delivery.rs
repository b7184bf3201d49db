//! The caller's response, made from an upstream's answer.

use bytes::Bytes;
use ferry_kernel::http::{HttpBody, full, streamed};
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
    let mut head = Response::new(()).into_parts().0;
    head.status = answer.head.status;
    head.headers.clone_from(&answer.head.headers);
    let pump = EventPump::new(run, answer);
    let events = stream::unfold(pump, |mut pump| async move {
        let event = pump.next().await?;
        Some((event, pump))
    });
    with_head(&head, streamed(events))
}

fn with_head(head: &Parts, body: HttpBody) -> Response<HttpBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = answer_headers(&head.headers);
    response
}
