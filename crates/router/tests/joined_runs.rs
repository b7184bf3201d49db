//! Runs that duplicates may join until the end marker of the answer has arrived.

use std::sync::Arc;

use bytes::Bytes;
use ferry_decisions::claim::RequestKey;
use ferry_decisions::names::RequestId;
use ferry_platform::engine::STREAM_END;
use ferry_router::caller::{CallerRefusal, RefusalKind};
use ferry_router::dispatch::{RunAnswer, RunHead};
use ferry_router::joins::{JoinStart, JoinTable, RequestFingerprint};
use futures::StreamExt;
use hyper::HeaderMap;
use tokio::sync::{mpsc, oneshot};

fn fingerprint(body: &str) -> RequestFingerprint {
    RequestFingerprint::new("POST", "/", &HeaderMap::new(), body.as_bytes())
}

fn lost_refusal() -> CallerRefusal {
    CallerRefusal::permanent(RefusalKind::UpstreamFailed, "lost")
}

/// Guards against an intermittent refusal: a caller that sent again right after the end marker of its
/// answer was refused when its first send still counted as in progress.
#[tokio::test]
async fn a_send_after_the_end_marker_starts_a_new_run() {
    let table = Arc::new(JoinTable::default());
    let request = RequestId::generate();
    let key = RequestKey::new(&"clinic".into(), &request);
    let Ok(JoinStart::First(publisher, mut listener)) =
        table.join_or_start(&key, fingerprint("first"))
    else {
        panic!("the first send runs");
    };
    let (answers, answer) = oneshot::channel();
    let (events, receiver) = mpsc::channel(4);
    tokio::spawn(publisher.publish_completion(answer, lost_refusal()));
    let head = RunHead {
        request,
        version: "small-1".into(),
        session: None,
    };
    let stream = RunAnswer::Stream {
        head,
        events: receiver,
    };
    answers.send(Ok(stream)).unwrap();
    assert!(table.join_or_start(&key, fingerprint("other")).is_err());
    let end = Bytes::from(format!("data: {STREAM_END}\n\n"));
    events.send(Ok(end.clone())).await.unwrap();
    listener.head().await.unwrap();
    let mut answer = Box::pin(listener.into_events());
    assert_eq!(answer.next().await.unwrap().unwrap(), end);
    // The stream itself is not closed yet.
    let again = table.join_or_start(&key, fingerprint("other"));
    assert!(matches!(again, Ok(JoinStart::First(..))));
    drop(events);
}
