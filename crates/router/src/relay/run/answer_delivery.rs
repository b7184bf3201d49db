//! Builds the caller's response from an upstream's answer.
//!
//! An answer whose end its upstream marked by closing the connection is ended in the same way, so that a caller is not told
//! that it is complete.

use bytes::Bytes;
use ferry_kernel::http::{BodyFraming, HttpBody, empty, full, streamed};
use ferry_platform::headers::answer_headers;
use futures::stream;
use hyper::Response;
use hyper::http::response::Parts;

use super::RelayRun;
use super::event_forwarder::EventForwarder;
use super::upstream_send::UpstreamAnswer;

/// Response with a body that was read to its end.
pub fn deliver_whole(head: &Parts, framing: BodyFraming, body: Bytes) -> Response<HttpBody> {
    framing.apply(with_head(head, full(body)))
}

/// Response that streams the events of `answer` as they arrive.
pub fn deliver_events(run: RelayRun, answer: UpstreamAnswer) -> Response<HttpBody> {
    let framing = answer.framing;
    let mut response = with_head(&answer.head, empty());
    let forwarder = EventForwarder::new(run, answer);
    let events = stream::unfold(forwarder, |mut forwarder| async move {
        let event = forwarder.next().await?;
        Some((event, forwarder))
    });
    *response.body_mut() = streamed(events);
    framing.apply(response)
}

fn with_head(head: &Parts, body: HttpBody) -> Response<HttpBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = answer_headers(&head.headers);
    response
}
