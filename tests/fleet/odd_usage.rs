//! An engine whose answers state any number of tokens.

use std::time::Duration;

use ferry_decisions::bill::{BillBatch, bill_stream};
use ferry_decisions::claim::SHARD_COUNT;
use ferry_platform::hosts::{HostEntry, HostRole, HostState};
use ferry_rig::{ChatCall, ChatResult, FleetRig, eventually};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::sample::{client, configuration, programs};

/// Load report of the engine.
const LOAD: &str = r#"{"running":0,"queued":0,"batch_limit":8,"queue_limit":8,"step_ms":1.0}"#;
/// Answer of the engine, with the largest number of tokens.
const ANSWER: &str = r#"{"id":"a","object":"chat.completion","model":"small-1","choices":[{"index":0,"message":{"role":"assistant","content":"yes"},"finish_reason":"stop"}],"usage":{"prompt_tokens":18446744073709551615,"completion_tokens":18446744073709551615,"total_tokens":18446744073709551615}}"#;

async fn serve(listener: TcpListener) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        tokio::spawn(answer(stream));
    }
}

/// Answers one request and closes the connection.
async fn answer(mut stream: TcpStream) {
    let mut request = [0; 16_384];
    let length = stream.read(&mut request).await.unwrap_or_default();
    let body = match request[..length].starts_with(b"GET /load") {
        true => LOAD,
        false => ANSWER,
    };
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let _ = stream.write_all(answer.as_bytes()).await;
}

/// Cost of the first bill on the log, if there is one.
async fn first_cost(rig: &FleetRig) -> Option<u64> {
    let log = rig.log();
    for shard in 0..SHARD_COUNT {
        let stream = bill_stream(shard);
        let page = log.read(&stream, 0, 100, Duration::ZERO).await.unwrap();
        for record in page.records {
            let batch: BillBatch = serde_json::from_str(&record.data).unwrap();
            if let Some(bill) = batch.bills.first() {
                return Some(bill.cost);
            }
        }
    }
    None
}

/// Guards against a bill that is too low, or an answer that is lost, since the price of the tokens that an engine states doesn't fit into
/// its type.
#[tokio::test]
async fn an_answer_with_any_number_of_tokens_is_delivered_and_billed_at_the_highest_price() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve(listener));
    let mut rig = FleetRig::start(programs(), &[]).await.unwrap();
    rig.list_host(&HostEntry {
        name: "engine-1".into(),
        zone: "zone-a".into(),
        role: HostRole::Engine,
        state: HostState::Live,
        address: address.to_string(),
        versions: vec!["small-1".into()],
        service: None,
    })
    .await;
    rig.add_router().await.unwrap();
    rig.wait_until_ready(1).await;
    rig.publish_everywhere(configuration()).await;
    let call = ChatCall::new("small-1", "Text").unstreamed();
    let result = client().chat(&rig.callers(0), &call).await;
    assert!(matches!(result, ChatResult::Answered(_)), "{result:?}");
    let cost = eventually("the bill is on the log", || first_cost(&rig)).await;
    assert_eq!(cost, u64::MAX);
}
