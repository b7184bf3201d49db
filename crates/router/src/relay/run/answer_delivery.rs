//! Builds the caller's response from an upstream's answer.

use bytes::Bytes;
use ferry_kernel::http::{HttpBody, empty, full, streamed};
use ferry_platform::headers::answer_headers;
use futures::stream;
use hyper::Response;
use hyper::http::response::Parts;

use super::RelayRun;
use super::event_forwarder::EventForwarder;
use super::upstream_send::UpstreamAnswer;

/// Response with a complete body.
pub fn deliver_whole(head: &Parts, body: Bytes) -> Response<HttpBody> {
    with_head(head, full(body))
}

/// Response that streams the events of `answer` as they arrive.
pub fn deliver_events(run: RelayRun, answer: UpstreamAnswer) -> Response<HttpBody> {
    let mut response = with_head(&answer.head, empty());
    let forwarder = EventForwarder::new(run, answer);
    let events = stream::unfold(forwarder, |mut forwarder| async move {
        let event = forwarder.next().await?;
        Some((event, forwarder))
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
