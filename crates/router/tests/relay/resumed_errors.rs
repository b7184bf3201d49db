//! Streams that begin and break off, and whose resumption is answered with something else than the rest of the stream.

use ferry_decisions::ruleset::RunKind;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::deployment::{Deployment, eventually, loopback, rule};
use crate::raw_replica::{answer_head, read_raw, read_request, register_raw};

/// Event of a stream that then breaks off.
const FIRST_EVENT: &str = "id: 1\ndata: part 1\n\n";
/// Text of the error that a resumption is answered with.
const ERROR_TEXT: &str = "{\"error\":\"no room for the stream\"}\n\n";
/// Upstreams of each test; a stream is resumed at another one than began it.
const UPSTREAMS: [&str; 2] = ["up-1", "up-2"];
/// Statuses and media types of the answers to a resumption.
const ERRORS: [(&str, &str); 5] = [
    ("500 Internal Server Error", "text/plain"),
    ("503 Service Unavailable", "application/json"),
    ("500 Internal Server Error", "text/event-stream"),
    ("200 OK", "application/json"),
    ("204 No Content", "text/event-stream"),
];

async fn accept(listener: TcpListener, error: (&'static str, &'static str)) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream, error));
    }
}

/// Begins a stream and breaks off, or answers its resumption with `error`.
async fn serve(mut stream: TcpStream, (status, media_type): (&str, &str)) -> Option<()> {
    let bound = read_request(&mut stream).await?;
    let is_first = bound.last_event.is_none();
    let head = answer_head(bound.attempt_id);
    let answer = if is_first {
        let length = FIRST_EVENT.len();
        format!(
            "{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{FIRST_EVENT}\r\n"
        )
    } else {
        let head = head.replacen("200 OK", status, 1);
        let length = ERROR_TEXT.len();
        format!("{head}Content-Type: {media_type}\r\nContent-Length: {length}\r\n\r\n{ERROR_TEXT}")
    };
    stream.write_all(answer.as_bytes()).await.ok()
}

/// Guards against the text of an error, or its head, in the middle of a stream, and against a stream that looks complete after it.
#[tokio::test]
async fn an_error_that_answers_a_resumption_does_not_get_into_the_stream() {
    for error in ERRORS {
        let deployment = Deployment::start().await;
        deployment.configure(1, &[rule("/chats/", RunKind::ResumableStream)]);
        for id in UPSTREAMS {
            let listener = TcpListener::bind(loopback()).await.unwrap();
            register_raw(&deployment, id, listener.local_addr().unwrap());
            tokio::spawn(accept(listener, error));
        }
        let relay = deployment.relay().await;
        let mut number = 0;
        eventually("a stream began", async || {
            number += 1;
            let answer = read_raw(&relay, &format!("/chats/{number}"), "a").await;
            let text = answer.text();
            assert!(!text.contains("error"), "{error:?}: {answer:?}");
            assert!(!text.contains("HTTP/1.1"), "{error:?}: {answer:?}");
            let has_begun = text.contains(FIRST_EVENT);
            assert!(
                !has_begun || !answer.is_framed_as_complete(),
                "{error:?}: {answer:?}"
            );
            has_begun
        })
        .await;
    }
}
