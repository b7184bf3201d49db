//! A machine freezes while a replica writes answers without length; the replica crashes and its next process is back at the same address
//! before the machine wakes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::fleet::{Fleet, Process, Record, INTAKE, SIGCONT, SIGKILL, SIGSTOP};
use crate::http::{self, End};
use crate::replica::{self, Answers, STREAMS, event_halves, halves};

const SERVICE: &str = "huvo11a";
const REQUESTS: usize = 36;
/// One of them crashes, a share of 0.17 as in the site's file.
const REPLICAS: u8 = 6;
/// Time that an answer takes.
const ANSWER: Duration = Duration::from_millis(1_500);
/// Time for which the replica is down.
const DOWN: Duration = Duration::from_millis(3_000);
/// Time for which the machine stands still.
const FREEZE: Duration = Duration::from_millis(4_000);

pub fn play(record: &Arc<Record>, has_trouble: bool) -> io::Result<Option<bool>> {
    let mut fleet = Fleet::new(record, INTAKE)?;
    let routes = [("once", "/puxa403/", "non_idempotent"), ("many", "/cufi504/", "idempotent"), ("stream", STREAMS, "streaming")].map(|(name, path, kind)| {
        let stream = if kind == "streaming" { "\"resumable\":true,\"itlTargetMs\":800," } else { "" };
        format!("{{{stream}\"name\":\"r-{name}\",\"host\":\"ficu95.example\",\"pathPrefix\":\"{path}\",\"routeKind\":\"{kind}\",\"timeoutMs\":25000,\"targetLatencyMs\":4000,\"priority\":0,\"service\":\"{SERVICE}\",\"attempts\":3,\"public\":false,\"sticky\":false}}")
    });
    fleet.configure(7, &routes.join(","), &[SERVICE]);
    let addresses: Vec<SocketAddr> = (0..REPLICAS).map(|number| fleet.address(100 + number, 8080)).collect();
    let mut processes = Vec::new();
    let mut entries = Vec::new();
    for (number, address) in addresses.iter().enumerate() {
        let id = format!("i-{number}-1");
        processes.push(start_replica(record, *address, &id)?);
        entries.push(fleet.register(&id, SERVICE, "cluj-sala-a", *address));
    }
    for _ in 0..2 {
        fleet.start_machine("cluj-sala-a")?;
    }
    if !fleet.wait_until_ready() {
        return Ok(None);
    }
    let fleet = Arc::new(fleet);
    record.line("clients send their requests");
    let calls: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (fleet, record) = (Arc::clone(&fleet), Arc::clone(record));
            thread::spawn(move || {
                let (method, path) = match number % 3 {
                    0 => ("POST", "/puxa403/2f".to_owned()),
                    1 => ("GET", "/cufi504/fi50/2f".to_owned()),
                    _ => ("POST", format!("{STREAMS}2f")),
                };
                let attempt = fleet.attempt();
                let request = fleet.request(method, &path, &attempt, 25_000);
                let answer = http::call(fleet.machines[0].frontend(), &request, Duration::from_secs(30));
                let (text, is_broken) = judge(&attempt, &path, answer);
                record.line(&format!("client {attempt} {method} {path} got {text}"));
                is_broken
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    if has_trouble {
        record.line("the machine freezes");
        fleet.machines[0].process.signal(SIGSTOP);
        thread::sleep(Duration::from_millis(300));
        record.line("replica i-0-1 crashes");
        processes[0].signal(SIGKILL);
        entries[0].end();
        thread::sleep(DOWN);
        record.line("the next process of that replica starts at the same address");
        processes.push(start_replica(record, addresses[0], "i-0-2")?);
        entries.push(fleet.register("i-0-2", SERVICE, "cluj-sala-a", addresses[0]));
        thread::sleep(FREEZE.saturating_sub(DOWN + Duration::from_millis(300)));
        record.line("the machine wakes");
        fleet.machines[0].process.signal(SIGCONT);
    }
    let results: Vec<bool> = calls.into_iter().map(|call| call.join().unwrap_or(false)).collect();
    let broken = results.iter().filter(|is_broken| **is_broken).count();
    record.line(&format!("{broken} of {REQUESTS} clients got a success that is not the replica's whole answer and looks complete"));
    fleet.end();
    Ok(Some(broken > 0))
}

/// What a client got, and whether that breaks MIXED, or ORDER for a stream.
fn judge(attempt: &str, path: &str, answer: io::Result<(http::Message, End)>) -> (String, bool) {
    let (message, end) = match answer {
        Ok(answer) => answer,
        Err(error) => return (format!("no answer: {:?}", error.kind()), false),
    };
    let (first, second) = if path.starts_with(STREAMS) { event_halves(attempt, 0) } else { halves(attempt) };
    let whole = [first, second].concat();
    let is_whole = message.body == whole;
    let text = format!("{} with {} of {} bytes, end {end:?}", message.status(), message.body.len(), whole.len());
    let is_success = (200..300).contains(&message.status());
    (text, is_success && !is_whole && end != End::Cut)
}

fn start_replica(record: &Arc<Record>, address: SocketAddr, id: &str) -> io::Result<Process> {
    let record = Arc::clone(record);
    replica::start(address, id, ANSWER, Answers::Unframed, move |line| record.line(&format!("replica: {line}")))
}
