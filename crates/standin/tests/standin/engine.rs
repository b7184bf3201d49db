//! Engines follow their published protocol, also when calls are cancelled, resumed or refused.

use std::time::Duration;

use crate::calls::{
    TEST_TIMEOUT, chat, chat_call, eventually, read_text, send, stream_chunks, stream_text,
    with_header,
};
use ferry_kernel::http::{HttpClient, HttpRequest};
use ferry_platform::engine::{ChatAnswer, LoadReport, NOT_RUN_HEADER};
use ferry_platform::hosts::HostsClient;
use ferry_standin::digest::message_digest;
use ferry_standin::{EngineOptions, EngineStandin, FaultOrder, PlatformOptions, PlatformStandin};
use hyper::{Method, StatusCode};

/// Options of an engine that serves `v1` and `v2` in short steps.
fn options() -> EngineOptions {
    EngineOptions {
        versions: vec!["v1".into(), "v2".into()],
        step: Duration::from_millis(1),
        load_lag: Duration::ZERO,
        ..EngineOptions::default()
    }
}

/// Starts an engine that is too slow to finish a run of 100,000 tokens within a test.
async fn slow_engine(batch_limit: usize, queue_limit: usize) -> EngineStandin {
    let engine = EngineStandin::start(EngineOptions {
        batch_limit,
        queue_limit,
        ..options()
    })
    .await
    .unwrap();
    engine.set_faults(FaultOrder {
        step_factor: Some(20.0),
        ..FaultOrder::default()
    });
    engine
}

fn started(engine: &EngineStandin, id: &str) -> u64 {
    engine.counters().of(&id.into()).started
}

#[tokio::test]
async fn whole_answers_and_streams_carry_the_same_text() {
    let engine = EngineStandin::start(options()).await.unwrap();
    let request = chat("v1", "summarise", false, 9);
    let response = send(chat_call(&engine.url(), "a", &request)).await.unwrap();
    let answer: ChatAnswer = serde_json::from_str(&read_text(response).await.unwrap()).unwrap();
    let text = answer.choices[0]
        .message
        .content
        .as_str()
        .unwrap()
        .to_owned();
    let start = format!(
        "digest={} version=v1 request=a ",
        message_digest(&request.messages)
    );
    assert!(text.starts_with(&start), "{text}");
    assert_eq!(answer.usage.completion_tokens, 9);

    let request = chat("v1", "summarise", true, 9);
    let response = send(chat_call(&engine.url(), "a", &request)).await.unwrap();
    let chunks = stream_chunks(&read_text(response).await.unwrap());
    assert_eq!(stream_text(&chunks), text);
    assert_eq!(chunks.len(), 10);
    assert_eq!(chunks[9].usage, Some(answer.usage));
    let count = engine.counters().of(&"a".into());
    assert_eq!((count.started, count.finished, count.cancelled), (2, 2, 0));
    engine.stop().await;
}

#[tokio::test]
async fn refusals_state_that_the_request_did_not_run() {
    let engine = slow_engine(1, 1).await;
    let unknown = send(chat_call(&engine.url(), "u", &chat("v9", "x", false, 1)));
    let malformed = HttpRequest::post_json(&format!("{}/v1/chat/completions", engine.url()), &1);
    let mut refusals = vec![
        (unknown.await.unwrap(), StatusCode::NOT_FOUND),
        (send(malformed).await.unwrap(), StatusCode::BAD_REQUEST),
    ];
    let endless = chat("v1", "x", true, 100_000);
    let _running = send(chat_call(&engine.url(), "r", &endless)).await.unwrap();
    eventually("the run starts", || started(&engine, "r") == 1).await;
    let _queued = send(chat_call(&engine.url(), "q", &endless)).await.unwrap();
    let full = send(chat_call(&engine.url(), "f", &endless)).await.unwrap();
    assert!(full.headers().contains_key("retry-after"));
    refusals.push((full, StatusCode::TOO_MANY_REQUESTS));
    engine.set_faults(FaultOrder {
        leaving: true,
        ..FaultOrder::default()
    });
    let leaving = send(chat_call(&engine.url(), "l", &endless)).await.unwrap();
    refusals.push((leaving, StatusCode::SERVICE_UNAVAILABLE));
    for (refusal, status) in refusals {
        assert_eq!(refusal.status(), status);
        assert_eq!(refusal.headers()[NOT_RUN_HEADER], "true");
    }
    for id in ["u", "f", "l"] {
        let count = engine.counters().of(&id.into());
        assert_eq!((count.started, count.refused), (0, 1), "{id}");
    }
}

#[tokio::test]
async fn higher_priorities_run_first() {
    let engine = slow_engine(1, 8).await;
    let first = send(chat_call(
        &engine.url(),
        "first",
        &chat("v1", "x", true, 100_000),
    ));
    let first = first.await.unwrap();
    eventually("the first run starts", || started(&engine, "first") == 1).await;
    let endless = chat("v1", "x", true, 100_000);
    let low = chat_call(&engine.url(), "low", &endless);
    let _low = send(with_header(low, "x-priority", "-1")).await.unwrap();
    let high = chat_call(&engine.url(), "high", &endless);
    let _high = send(with_header(high, "x-priority", "5")).await.unwrap();
    drop(first);
    eventually("the high run starts", || started(&engine, "high") == 1).await;
    assert_eq!(started(&engine, "low"), 0);
}

#[tokio::test]
async fn a_closed_connection_cancels_the_run() {
    let engine = slow_engine(8, 8).await;
    let streamed = send(chat_call(
        &engine.url(),
        "s",
        &chat("v1", "x", true, 100_000),
    ));
    let streamed = streamed.await.unwrap();
    let whole = chat_call(&engine.url(), "w", &chat("v1", "x", false, 100_000));
    let whole = tokio::spawn(send(whole));
    eventually("both runs start", || {
        started(&engine, "s") + started(&engine, "w") == 2
    })
    .await;
    drop(streamed);
    whole.abort();
    for id in ["s", "w"] {
        let cancelled = || engine.counters().of(&id.into()).cancelled == 1;
        eventually("the run is cancelled", cancelled).await;
    }
    assert_eq!(engine.counters().totals().finished, 0);
    engine.stop().await;
}

#[tokio::test]
async fn a_broken_stream_can_be_resumed_where_it_broke() {
    let engine = EngineStandin::start(options()).await.unwrap();
    engine.set_faults(FaultOrder {
        break_streams_after: Some(4),
        ..FaultOrder::default()
    });
    let response = send(chat_call(&engine.url(), "b", &chat("v2", "x", true, 12)));
    assert!(read_text(response.await.unwrap()).await.is_err());
    engine.set_faults(FaultOrder::default());
    let url = format!("{}/v1/streams/b?from=4", engine.url());
    let rest = read_text(send(HttpRequest::get(&url)).await.unwrap())
        .await
        .unwrap();
    let chunks = stream_chunks(&rest);
    assert_eq!(chunks.len(), 9);
    assert!(stream_text(&chunks).ends_with("-11"));
    let count = engine.counters().of(&"b".into());
    assert_eq!(count.finished, 1);
    engine.stop().await;
}

#[tokio::test]
async fn a_cancelled_stream_ends_with_an_error() {
    let engine = slow_engine(8, 8).await;
    let response = send(chat_call(
        &engine.url(),
        "c",
        &chat("v1", "x", true, 100_000),
    ));
    let response = response.await.unwrap();
    eventually("the run starts", || started(&engine, "c") == 1).await;
    let url = format!("{}/v1/streams/c/cancel", engine.url());
    let cancel = HttpRequest::new(Method::POST, &url, Default::default());
    assert_eq!(send(cancel).await.unwrap().status(), StatusCode::OK);
    assert!(read_text(response).await.is_err());
    let again = HttpRequest::get(&format!("{}/v1/streams/c?from=0", engine.url()));
    assert_eq!(send(again).await.unwrap().status(), StatusCode::NOT_FOUND);
    engine.stop().await;
}

#[tokio::test]
async fn a_repeated_prompt_is_found_in_the_prefix_cache() {
    let engine = EngineStandin::start(options()).await.unwrap();
    let request = chat("v1", &"long prompt ".repeat(100), false, 1);
    for _ in 0..2 {
        let response = send(chat_call(&engine.url(), "p", &request)).await.unwrap();
        read_text(response).await.unwrap();
    }
    let report = engine.counters().report();
    assert!(report.cached_tokens > 250, "{}", report.cached_tokens);
    engine.stop().await;
}

#[tokio::test]
async fn the_load_report_follows_the_load() {
    let engine = slow_engine(1, 8).await;
    let url = format!("{}/load", engine.url());
    let endless = chat("v1", "x", true, 100_000);
    let _running = send(chat_call(&engine.url(), "a", &endless)).await.unwrap();
    let _waiting = send(chat_call(&engine.url(), "b", &endless)).await.unwrap();
    let client = HttpClient::default();
    let wait = async {
        loop {
            let report: LoadReport = client
                .fetch_json(HttpRequest::get(&url), TEST_TIMEOUT)
                .await
                .unwrap();
            if (report.running, report.queued) == (1, 1) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, wait).await.unwrap();
}

#[tokio::test]
async fn engines_register_and_leave_the_host_list() {
    let platform = PlatformStandin::start(PlatformOptions {
        hosts_lag: Duration::ZERO,
        ..PlatformOptions::default()
    })
    .await
    .unwrap();
    let engine = EngineStandin::start(EngineOptions {
        platform: Some(platform.url()),
        ..options()
    })
    .await
    .unwrap();
    let hosts = HostsClient::new(&platform.url(), TEST_TIMEOUT);
    let listing = hosts.list().await.unwrap();
    assert_eq!(listing.hosts[0].address, engine.address().to_string());
    engine.stop().await;
    assert!(hosts.list().await.unwrap().hosts.is_empty());
    platform.stop().await;
}
