//! Numbers of any size that upstreams state in the headers of their answers.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use ferry_decisions::ruleset::RunKind;
use ferry_platform::headers::{IDLE_TIME_HEADER, NUMBER_HEADERS, NumberHeader};
use ferry_standin::ReplicaPlan;
use futures::future::join_all;
use hyper::{HeaderMap, StatusCode};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::deployment::{Deployment, call, loopback, request, rule};
use crate::raw_replica::{answer_head, header_lines, read_request, register_raw};

/// Longer than the idle time that is assumed of an upstream that states none.
const BEYOND_ASSUMED_TIME: Duration = Duration::from_secs(3);

/// Numbers, and texts in the place of numbers, that no sound upstream states.
const ODD_NUMBERS: [&str; 20] = [
    "0",
    "1",
    "-1",
    "0.5",
    "1e-300",
    "1e308",
    "1e999",
    "NaN",
    "inf",
    "soon",
    "2147483648",
    "4294967295",
    "4294967296",
    "9007199254740993",
    "9223372036854775807",
    "9223372036854775808",
    "12622780800",
    "18446744073709551615",
    "18446744073709551616",
    "99999999999999999999999999999999999999",
];

/// Kinds of runs, with the prefix of their paths: whole answers and streams, in each way of running.
const KINDS: [(&str, RunKind); 4] = [
    ("/notes/", RunKind::Idempotent),
    ("/letters/", RunKind::Once),
    ("/drafts/", RunKind::Stream),
    ("/chats/", RunKind::ResumableStream),
];

/// Plan of an upstream that states `number` in `header`.
fn stating_plan(header: NumberHeader, number: &str) -> ReplicaPlan {
    ReplicaPlan {
        headers: header.stating(number).into_iter().collect(),
        ..ReplicaPlan::default()
    }
}

/// Sends requests of all kinds to upstreams that state each odd number in turn; returns those that got no whole answer.
async fn lost_answers(header: NumberHeader) -> Vec<String> {
    let deployment = Deployment::start().await;
    deployment.configure(1, &KINDS.map(|(prefix, run)| rule(prefix, run)));
    let replicas = deployment
        .replicas(["up-1", "up-2"], &ReplicaPlan::default())
        .await;
    let relay = deployment.relay().await;
    let mut lost = Vec::new();
    for (number, odd) in ODD_NUMBERS.iter().enumerate() {
        for (prefix, run) in KINDS {
            let is_stream = matches!(run, RunKind::Stream | RunKind::ResumableStream);
            let plan = ReplicaPlan {
                events: if is_stream { 3 } else { 0 },
                gap: Duration::from_millis(1),
                ..stating_plan(header, odd)
            };
            replicas
                .iter()
                .for_each(|replica| replica.plan(plan.clone()));
            let path = format!("{prefix}{number}");
            let sent = tokio::spawn(call(request(&relay, &path, "a"))).await;
            // A limit, or a load without room, may cost later requests, but none its answer.
            let is_answered = sent.as_ref().is_ok_and(|answer| {
                answer.body.is_some()
                    && matches!(
                        answer.status,
                        StatusCode::OK
                            | StatusCode::SERVICE_UNAVAILABLE
                            | StatusCode::TOO_MANY_REQUESTS
                    )
            });
            if !is_answered {
                lost.push(format!("{header:?} {odd} {run:?}: {sent:?}"));
            }
        }
    }
    lost
}

/// Guards against a stated number that ends the task of a caller's connection, so that an answer that was ready is lost.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_number_that_an_upstream_states_costs_no_answer() {
    let lost: Vec<_> = join_all(NUMBER_HEADERS.map(lost_answers)).await;
    let lost: Vec<_> = lost.concat();
    assert!(lost.is_empty(), "{lost:#?}");
}

/// Accepts connections and answers every request on them, and states `idle_time`; counts connections in `opened`.
async fn serve_kept(listener: TcpListener, idle_time: &'static str, opened: Arc<AtomicUsize>) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        opened.fetch_add(1, Ordering::AcqRel);
        tokio::spawn(answer_all(stream, idle_time));
    }
}

async fn answer_all(mut stream: TcpStream, idle_time: &str) {
    while let Some(bound) = read_request(&mut stream).await {
        let head = answer_head(bound.attempt_id);
        let (name, value) = IDLE_TIME_HEADER.stating(idle_time).unwrap();
        let stated = header_lines(&HeaderMap::from_iter([(name, value)]));
        let answer = format!("{head}{stated}Content-Length: 5\r\n\r\nwhole");
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Guards against a long idle timeout that costs the reuse of connections.
#[tokio::test]
async fn a_connection_is_used_again_whatever_long_idle_timeout_is_stated() {
    for idle_time in ["60", "9223372036854775807", "18446744073709551616"] {
        let deployment = Deployment::start().await;
        deployment.configure(1, &[rule("/letters/", RunKind::Once)]);
        let listener = TcpListener::bind(loopback()).await.unwrap();
        register_raw(&deployment, "up-1", listener.local_addr().unwrap());
        let opened = Arc::new(AtomicUsize::new(0));
        tokio::spawn(serve_kept(listener, idle_time, Arc::clone(&opened)));
        let relay = deployment.relay().await;
        let first = call(request(&relay, "/letters/first", "a")).await;
        assert_eq!(first.status, StatusCode::OK, "{idle_time}");
        sleep(BEYOND_ASSUMED_TIME).await;
        let before = opened.load(Ordering::Acquire);
        let next = call(request(&relay, "/letters/next", "b")).await;
        assert_eq!(next.status, StatusCode::OK, "{idle_time}");
        let after = opened.load(Ordering::Acquire);
        assert_eq!(after, before, "{idle_time}");
    }
}
