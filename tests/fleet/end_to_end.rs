//! Requests of every kind that callers send, end to end.

use ferry_decisions::config::VersionPhase;
use ferry_decisions::names::RequestId;
use ferry_rig::{ChatCall, ChatResult};
use hyper::Method;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::sample::{KEY, client, fleet, version};

#[tokio::test]
async fn completions_and_service_calls_are_answered() {
    let rig = fleet(2).await;
    let caller = client();
    let address = rig.callers(0);

    let streamed = caller
        .chat(&address, &ChatCall::new("small-1", "Summarise"))
        .await;
    let streamed = streamed.answer();
    assert_eq!(streamed.version, "small-1");
    assert_eq!(streamed.completion_tokens, 8);

    let whole = caller
        .chat(
            &address,
            &ChatCall::new("large-1", "Summarise").unstreamed(),
        )
        .await;
    assert_eq!(whole.answer().version, "large-1");

    let cascade = caller
        .chat(&rig.callers(1), &ChatCall::new("triage", "Triage"))
        .await;
    assert!(!cascade.answer().text.is_empty());

    let id = RequestId::generate();
    let headers = [("idempotency-key", id.to_string())];
    let (status, _, body) = caller
        .call(
            &address,
            Method::POST,
            "/services/letters/send",
            &headers,
            "{}",
        )
        .await
        .unwrap();
    assert_eq!(status, 200, "{body:?}");
}

#[tokio::test]
async fn a_withdrawn_version_ends_its_sessions_on_every_router() {
    let rig = fleet(3).await;
    let caller = client();
    let first = ChatCall::new("small-1", "First").header("ferry-session", "new");
    let session = caller
        .chat(&rig.callers(0), &first)
        .await
        .answer()
        .session
        .unwrap();
    let next = ChatCall::new("small-1", "Next").header("ferry-session", &session);
    assert_eq!(
        caller.chat(&rig.callers(1), &next).await.answer().version,
        "small-1"
    );

    let withdrawn = version("small-1", "small", VersionPhase::Withdrawn);
    rig.publish_everywhere(vec![withdrawn]).await;

    for index in 0..3 {
        let refusal = caller.chat(&rig.callers(index), &next).await.refusal();
        assert_eq!(refusal.kind(), "session_version_withdrawn");
        assert_eq!(refusal.run, "not_run");
        let other = caller
            .chat(&rig.callers(index), &ChatCall::new("assistant", "Any"))
            .await;
        assert_eq!(other.answer().version, "large-1");
    }
}

#[tokio::test]
async fn invalid_input_is_refused_with_its_kind() {
    let rig = fleet(1).await;
    let caller = client();
    let address = rig.callers(0);
    let kind_of = |result: ChatResult| {
        let refusal = result.refusal();
        assert_eq!(refusal.run, "not_run");
        refusal.kind().to_owned()
    };

    let call = ChatCall::new("small-1", "Text");
    let unknown = caller
        .chat(&address, &ChatCall::new("no-such-model", "Text"))
        .await;
    assert_eq!(kind_of(unknown), "unknown");
    let zero_deadline = caller
        .chat(&address, &call.clone().header("ferry-deadline-ms", "0"))
        .await;
    assert_eq!(kind_of(zero_deadline), "bad_request");
    let text_deadline = caller
        .chat(&address, &call.clone().header("ferry-deadline-ms", "soon"))
        .await;
    assert_eq!(kind_of(text_deadline), "bad_request");
    let unknown_key = ferry_rig::RigClient::new("no-such-key")
        .chat(&address, &call)
        .await;
    assert_eq!(kind_of(unknown_key), "unauthenticated");
    let forged = caller
        .chat(&address, &call.header("ferry-session", "k1.00.00"))
        .await;
    assert_eq!(kind_of(forged), "bad_session");

    let path = "/v1/chat/completions";
    let json = caller
        .call(&address, Method::POST, path, &[], "{")
        .await
        .unwrap();
    assert_eq!(json.0, 400);
    let large = vec![b' '; 5 * 1024 * 1024];
    let oversize = caller
        .call(&address, Method::POST, path, &[], large)
        .await
        .unwrap();
    assert_eq!(oversize.0, 413);
}

#[tokio::test]
async fn a_truncated_body_is_refused_and_runs_nothing() {
    let rig = fleet(1).await;
    let mut stream = TcpStream::connect(rig.callers(0)).await.unwrap();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {KEY}\r\ncontent-length: 500\r\n\r\n"
    );
    let body = r#"{"model": "small-1", "messages": [{"role": "user""#;
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body.as_bytes()).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains("send the whole body"), "{answer}");
    for engine in &rig.engines {
        let counters = rig.counters(&engine.process.address("control")).await;
        assert_eq!(counters["totals"]["started"], 0);
    }
}
