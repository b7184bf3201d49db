//! Answers that end in the middle of their head, on new and on kept connections, of streams and of resumed ones.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use ferry_decisions::ruleset::RunKind;
use ferry_platform::headers::BoundRequest;
use ferry_router::relay::RelayDaemon;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::deployment::{Deployment, eventually, loopback, rule};
use crate::raw_replica::{RawEnd, answer_head, read_raw, read_request, register_raw};

/// Body of the answers that are whole.
const WHOLE: &str = "whole";
/// First event of a stream, which is then cut.
const FIRST_EVENT: &str = "id: 1\ndata: part 1\n\n";
/// Part of a head that is cut at each of its bytes, after those lines that depend on the request.
const FRAMING: &str = "Content-Length: 5\r\nContent-Type: text/plain\r\n\r";
/// Upstreams of each test; a stream is resumed at another one than began it.
const UPSTREAMS: [&str; 2] = ["up-1", "up-2"];
/// Kinds of runs, with the prefix of their paths.
const KINDS: [(&str, RunKind); 4] = [
    ("/notes/", RunKind::Idempotent),
    ("/letters/", RunKind::Once),
    ("/drafts/", RunKind::Stream),
    ("/chats/", RunKind::ResumableStream),
];

/// What an upstream does with the requests of each connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct CutPlan {
    /// Number of requests that are answered whole before one is cut.
    answered: usize,
    /// Whether streams begin, and only their resumption is cut.
    resumes: bool,
    end: RawEnd,
}

/// An upstream that cuts the heads of its answers, each one a byte later than the one before.
#[derive(Debug, Clone)]
struct HeadCutter {
    plan: CutPlan,
    /// Number of answers that were cut.
    cuts: Arc<AtomicUsize>,
}

impl HeadCutter {
    /// Starts all upstreams, which count their cuts together.
    async fn start_all(deployment: &Deployment, plan: CutPlan) -> Self {
        let cutter = Self {
            plan,
            cuts: Arc::default(),
        };
        for id in UPSTREAMS {
            let listener = TcpListener::bind(loopback()).await.unwrap();
            register_raw(deployment, id, listener.local_addr().unwrap());
            tokio::spawn(cutter.clone().accept(listener));
        }
        cutter
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(self.clone().serve(stream));
        }
    }

    async fn serve(self, mut stream: TcpStream) -> Option<()> {
        for _ in 0..self.plan.answered {
            let bound = read_request(&mut stream).await?;
            let head = answer_head(bound.attempt_id);
            let answer = format!("{head}{FRAMING}\n{WHOLE}");
            stream.write_all(answer.as_bytes()).await.ok()?;
        }
        let bound = read_request(&mut stream).await?;
        let bytes = self.cut_answer(bound);
        stream.write_all(bytes.as_bytes()).await.ok()?;
        // Lets the bytes arrive before a reset, which discards those that wait.
        sleep(Duration::from_millis(5)).await;
        if self.plan.end == RawEnd::Rst {
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        }
        Some(())
    }

    /// The first bytes of an answer: of its head, or of a stream that is to be resumed.
    fn cut_answer(&self, bound: BoundRequest) -> String {
        let is_first = bound.last_event.is_none();
        let head = answer_head(bound.attempt_id);
        if self.plan.resumes && is_first {
            let length = FIRST_EVENT.len();
            return format!(
                "{head}Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n{FIRST_EVENT}\r\n"
            );
        }
        let whole = format!("{head}{FRAMING}");
        let cut = self.cuts.fetch_add(1, Ordering::Relaxed);
        whole[..cut % (whole.len() + 1)].to_owned()
    }
}

/// Sends requests of `kinds` until each byte of a head has been the last one, and checks what their callers get.
async fn assert_no_cut_answer_looks_complete(kinds: &[(&str, RunKind)], plan: CutPlan) {
    let deployment = Deployment::start().await;
    let rules: Vec<_> = kinds
        .iter()
        .map(|(prefix, run)| rule(prefix, *run))
        .collect();
    deployment.configure(1, &rules);
    let cutter = HeadCutter::start_all(&deployment, plan).await;
    let relay = deployment.relay().await;
    let length = answer_head("attempt-0000".to_owned()).len() + FRAMING.len();
    let mut number = 0;
    for (prefix, run) in kinds {
        let until = cutter.cuts.load(Ordering::Relaxed) + length;
        eventually("each byte was the last one", async || {
            number += 1;
            check_answer(&relay, &format!("{prefix}{number}"), number, *run).await;
            cutter.cuts.load(Ordering::Relaxed) >= until
        })
        .await;
    }
}

async fn check_answer(relay: &RelayDaemon, path: &str, number: usize, run: RunKind) {
    let answer = read_raw(relay, path, &format!("attempt-{number:04}")).await;
    let text = answer.text();
    let is_whole = text == WHOLE || text == format!("5\r\n{WHOLE}\r\n0\r\n\r\n");
    // A stream may have begun; its end must show that it was cut.
    let is_cut = text.contains(FIRST_EVENT) && !answer.is_framed_as_complete();
    let is_sound = !answer.is_success() || is_whole || is_cut;
    assert!(is_sound, "{run:?}, request {number}: {answer:?}");
}

#[tokio::test]
async fn an_answer_whose_head_is_cut_does_not_look_complete() {
    for end in [RawEnd::Fin, RawEnd::Rst] {
        let plan = CutPlan {
            answered: 0,
            resumes: false,
            end,
        };
        assert_no_cut_answer_looks_complete(&KINDS, plan).await;
    }
}

#[tokio::test]
async fn an_answer_whose_head_is_cut_on_a_kept_connection_does_not_look_complete() {
    let plan = CutPlan {
        answered: 1,
        resumes: false,
        end: RawEnd::Fin,
    };
    assert_no_cut_answer_looks_complete(&KINDS, plan).await;
}

#[tokio::test]
async fn a_stream_whose_resumption_is_cut_in_its_head_does_not_look_complete() {
    let streams = [("/chats/", RunKind::ResumableStream)];
    for end in [RawEnd::Fin, RawEnd::Rst] {
        let plan = CutPlan {
            answered: 0,
            resumes: true,
            end,
        };
        assert_no_cut_answer_looks_complete(&streams, plan).await;
    }
}
