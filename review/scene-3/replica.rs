//! A replica as a process of its own. Its answers come after a time, with their length; or they have neither a length nor chunks, and a half of them
//! comes at once.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::process::{Command, Stdio, exit};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::fleet::{Process, end_with_test};
use crate::http;

/// Size of each half of a body.
const HALF: usize = 2_000;

/// The two halves of the answer to an attempt, the second one ends with `END`.
pub fn halves(attempt: &str) -> (Vec<u8>, Vec<u8>) {
    let mut first = format!("first {attempt} ").into_bytes();
    first.resize(HALF, b'a');
    let mut second = vec![b'b'; HALF - 3];
    second.extend_from_slice(b"END");
    (first, second)
}

/// Path prefix of streams of events.
pub const STREAMS: &str = "/lohu930/";
/// Events of a stream; the first half of them is sent at once.
const EVENTS: u32 = 20;

/// The two halves of the stream that answers an attempt, after the event `last`.
pub fn event_halves(attempt: &str, last: u32) -> (Vec<u8>, Vec<u8>) {
    let events = |from: u32, to: u32| {
        let events = (from.max(last + 1)..=to).map(|number| format!("id: {number}\ndata: {attempt} event {number} of {EVENTS}\n\n"));
        events.collect::<String>().into_bytes()
    };
    (events(1, EVENTS / 2), events(EVENTS / 2 + 1, EVENTS))
}

/// How a replica writes its answers.
#[derive(Clone, Copy)]
pub enum Answers {
    Framed,
    Unframed,
}

/// Starts a replica whose answers take `wait`; `heard` gets each line that it prints, such as `ID runs ATTEMPT of MACHINE`.
pub fn start(address: SocketAddr, id: &str, wait: Duration, answers: Answers, heard: impl Fn(&str) + Send + 'static) -> io::Result<Process> {
    let kind = match answers {
        Answers::Framed => "framed",
        Answers::Unframed => "unframed",
    };
    let mut command = Command::new(std::env::current_exe()?);
    command.args(["replica", &address.to_string(), id, &wait.as_millis().to_string(), kind]);
    command.stdin(Stdio::piped()).stdout(Stdio::piped());
    end_with_test(&mut command);
    let mut child = command.spawn()?;
    let lines = BufReader::new(child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?);
    thread::spawn(move || lines.lines().map_while(Result::ok).for_each(|line| heard(&line)));
    Ok(Process::adopt(child))
}

/// `replica ADDRESS ID MILLISECONDS framed|unframed`: runs until it is killed or its standard input ends.
pub fn main(words: &[String]) -> ! {
    let parsed = (|| {
        let address: SocketAddr = words.first()?.parse().ok()?;
        Some((address, words.get(1)?.clone(), words.get(2)?.parse().ok()?))
    })();
    let Some((address, id, wait)) = parsed else {
        exit(2);
    };
    let wait = Duration::from_millis(wait);
    let is_framed = words.get(3).is_some_and(|word| word == "framed");
    let served = http::serve(address, Arc::new(move |request, stream, peer| {
        if request.path() == "/healthz" {
            stream.write_all(&http::framed(200, &[("Chestnutferry-Replica-Id", &id)], b""))?;
            return Ok(true);
        }
        let attempt = request.header("chestnutferry-attempt-id").unwrap_or("").to_owned();
        if request.header("chestnutferry-expect-replica").is_some_and(|expected| expected != id) {
            let headers = [("Chestnutferry-Replica-Id", id.as_str()), ("Chestnutferry-Attempt-Id", attempt.as_str())];
            stream.write_all(&http::framed(421, &headers, b""))?;
            return Ok(true);
        }
        println!("{id} runs {attempt} of {peer}");
        if is_framed {
            thread::sleep(wait);
            let headers = [
                ("Chestnutferry-Attempt-Id", attempt.as_str()),
                ("Chestnutferry-Replica-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
                ("Keep-Alive", "timeout=10"),
            ];
            stream.write_all(&http::framed(200, &headers, &[b'x'; 800]))?;
            return Ok(true);
        }
        let is_stream = request.path().starts_with(STREAMS);
        let last = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let headers = [
            ("Chestnutferry-Attempt-Id", attempt.as_str()),
            ("Chestnutferry-Replica-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ("Content-Type", if is_stream { "text/event-stream" } else { "application/octet-stream" }),
            ("Connection", "close"),
        ];
        let (first, second) = if is_stream { event_halves(&attempt, last) } else { halves(&attempt) };
        stream.write_all(&http::head(200, &headers))?;
        stream.write_all(&first)?;
        thread::sleep(wait);
        stream.write_all(&second)?;
        println!("{id} finished {attempt}");
        Ok(false)
    }));
    if served.is_err() {
        exit(2);
    }
    println!("{} listens", words[1]);
    // Ends with the test.
    let _ = std::io::stdin().read(&mut [0]);
    exit(0);
}
