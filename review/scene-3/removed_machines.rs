//! Two machines of a zone leave for good in a planned stop. Keys are taken away later, one after the other, while replicas crash and come back; the
//! third machine of the zone is in touch all the while.

use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Entry, Fleet, PassedOn, Process, Record, INTAKE, KEY, SIGKILL, SIGTERM};
use crate::http;
use crate::replica::{self, Answers};

const SERVICE: &str = "wuno96b";
const ROUTE: &str = r#"{"name":"r-once","host":"ficu95.example","pathPrefix":"/puxa403/","routeKind":"non_idempotent","timeoutMs":25000,"targetLatencyMs":4000,"priority":0,"service":"wuno96b","attempts":3,"public":false,"sticky":false}"#;
/// Replicas, and how many of them crash at a time, for how long, and how often.
const REPLICAS: u8 = 12;
const CRASHED: usize = 2;
const DOWN: Duration = Duration::from_millis(4_500);
const CRASH_PERIOD: Duration = Duration::from_millis(4_700);
/// Time that work takes.
const WORK: Duration = Duration::from_millis(250);
/// Time after which a key that was taken away opens nothing at a machine in touch.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Time for which requests with a dropped key are sent after that.
const TRIED: Duration = Duration::from_millis(3_000);
/// Time between two keys that are taken away.
const REVOKE_PERIOD: Duration = Duration::from_millis(400);
/// Time for which crashes and revocations go on.
const LENGTH: Duration = Duration::from_secs(62);
/// Machines of the first zone.
const ZONE: usize = 3;
/// Requests per second with a sound key to the machine that is left.
const REQUESTS_PER_SECOND: f64 = 30.0;
const CALLERS: usize = 6;

/// A key and when the store acknowledged that it was taken away.
type DroppedKey = (String, Instant);

/// A replica's present process and entry.
struct Replica {
    address: SocketAddr,
    starts: usize,
    process: Process,
    entry: Entry,
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> io::Result<Option<bool>> {
    let mut fleet = Fleet::new(record, INTAKE)?;
    let key = |number: u32| format!("anfqasnmgkcuyj8p{number:04}");
    fleet.configure_keys(7, ROUTE, &[SERVICE], &[KEY, &key(0)]);
    let passed_on = PassedOn::default();
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        replicas.push(start_replica(&fleet, fleet.address(100 + number, 8080), 1, &passed_on)?);
    }
    for zone in ["cluj-sala-a", "cluj-sala-a", "cluj-sala-a", "cluj-sala-b", "cluj-sala-b"] {
        fleet.start_machine(zone)?;
    }
    if !fleet.wait_until_ready() {
        return Ok(None);
    }
    let Some(reader) = fleet.reader_of(0..ZONE) else {
        record.line("no machine of the zone reads the store");
        return Ok(None);
    };
    let (other, left) = ((reader + 1) % ZONE, (reader + 2) % ZONE);
    if has_trouble && !remove(&fleet, &[reader, other])? {
        return Ok(None);
    }
    let fleet = Arc::new(fleet);
    let dropped: Arc<Mutex<VecDeque<DroppedKey>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicUsize::new(0));
    let usual = send_usual(&fleet, left, &answered, &stop);
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (fleet, passed_on, dropped, stop) = (Arc::clone(&fleet), passed_on.clone(), Arc::clone(&dropped), Arc::clone(&stop));
            thread::spawn(move || call_with_dropped_keys(&fleet, left, number, &passed_on, &dropped, &stop))
        })
        .collect();
    record.line(&format!("keys are taken away from now on; machine {left} is left in its zone"));
    let (began, mut number, mut crashes, mut down) = (Instant::now(), 0, 0, VecDeque::new());
    while began.elapsed() < LENGTH {
        number += 1;
        fleet.configure_keys(7 + 3 * number, ROUTE, &[SERVICE], &[KEY, &key(number)]);
        dropped.lock().unwrap().push_back((key(number - 1), Instant::now()));
        let is_crash_due = has_trouble && began.elapsed() >= CRASH_PERIOD * crashes;
        if is_crash_due {
            crashes += 1;
            for index in (0..CRASHED).map(|place| (crashes as usize * CRASHED + place) % replicas.len()) {
                replicas[index].process.signal(SIGKILL);
                replicas[index].entry.end();
                down.push_back((Instant::now(), index));
            }
        }
        while let Some((_, index)) = down.pop_front_if(|(at, _): &mut (Instant, usize)| at.elapsed() >= DOWN) {
            let (address, starts) = (replicas[index].address, replicas[index].starts + 1);
            replicas[index] = start_replica(&fleet, address, starts, &passed_on)?;
        }
        thread::sleep(REVOKE_PERIOD);
    }
    stop.store(true, Ordering::SeqCst);
    let sent = usual.join().unwrap_or(0);
    let late: usize = callers.into_iter().map(|caller| caller.join().unwrap_or(0)).sum();
    record.line(&format!("clients sent {sent} requests with a sound key, {} were answered with 200", answered.load(Ordering::SeqCst)));
    record.line(&format!("CONFIG: {number} keys were taken away; {late} requests with a dropped key that were sent later than {} ms after the acknowledgement ran by machine {left}, which is in touch; one breaks the rule", CONFIG_APPLY.as_millis()));
    fleet.end();
    Ok(Some(late > 0))
}

fn start_replica(fleet: &Fleet, address: SocketAddr, starts: usize, passed_on: &PassedOn) -> io::Result<Replica> {
    let id = format!("i-{}-{starts}", address.ip());
    let passed_on = passed_on.clone();
    let heard = move |line: &str| {
        let mut words = line.split(' ');
        if words.nth(1) == Some("runs") {
            words.next().into_iter().for_each(|attempt| passed_on.add(attempt));
        }
    };
    let process = replica::start(address, &id, WORK, Answers::Framed, heard)?;
    let entry = fleet.register(&id, SERVICE, "cluj-sala-a", address);
    Ok(Replica { address, starts, process, entry })
}

/// Stops these machines as the platform does. Nobody answers at their addresses after that: connections to them hang. Returns whether they have
/// stopped in time.
fn remove(fleet: &Fleet, machines: &[usize]) -> io::Result<bool> {
    for machine in machines {
        fleet.record.line(&format!("machine {machine} gets SIGTERM and leaves for good"));
        fleet.machines[*machine].process.signal(SIGTERM);
    }
    let began = Instant::now();
    while machines.iter().any(|machine| fleet.machines[*machine].process.is_running()) {
        if began.elapsed() > Duration::from_secs(8) {
            return Ok(false);
        }
        thread::sleep(Duration::from_millis(5));
    }
    for machine in machines {
        let listener = TcpListener::bind(SocketAddr::new(fleet.machines[*machine].ip, 7340))?;
        thread::spawn(move || {
            // Held open, and never read.
            let _silent: Vec<_> = listener.incoming().collect();
        });
    }
    fleet.record.line("both have stopped");
    Ok(true)
}

/// Sends usual requests to `machine`; returns their number.
fn send_usual(fleet: &Arc<Fleet>, machine: usize, answered: &Arc<AtomicUsize>, stop: &Arc<AtomicBool>) -> thread::JoinHandle<usize> {
    let (fleet, answered, stop) = (Arc::clone(fleet), Arc::clone(answered), Arc::clone(stop));
    thread::spawn(move || {
        let (began, mut sent) = (Instant::now(), 0);
        while !stop.load(Ordering::SeqCst) {
            let due = began + Duration::from_secs_f64(f64::from(sent) / REQUESTS_PER_SECOND);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            sent += 1;
            let (fleet, answered) = (Arc::clone(&fleet), Arc::clone(&answered));
            thread::spawn(move || {
                let attempt = fleet.attempt();
                let answer = fleet.call(machine, "POST", "/puxa403/2f", &attempt, 2_500);
                if answer.is_ok_and(|(message, _)| message.status() == 200) {
                    answered.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
        sent as usize
    })
}

/// Sends requests with the keys that were taken away more than `CONFIG_APPLY` ago to `machine`; returns how many of them ran.
fn call_with_dropped_keys(fleet: &Fleet, machine: usize, number: usize, passed_on: &PassedOn, dropped: &Mutex<VecDeque<DroppedKey>>, stop: &AtomicBool) -> usize {
    let (mut late, mut turn) = (0, number);
    while !stop.load(Ordering::SeqCst) {
        turn += 1;
        let tried: Vec<DroppedKey> = {
            let mut dropped = dropped.lock().unwrap();
            while dropped.front().is_some_and(|(_, at)| at.elapsed() > CONFIG_APPLY + TRIED) {
                dropped.pop_front();
            }
            dropped.iter().filter(|(_, at)| at.elapsed() > CONFIG_APPLY).cloned().collect()
        };
        if !tried.is_empty() {
            let (key, at) = &tried[turn % tried.len()];
            let sent = at.elapsed();
            let attempt = fleet.attempt();
            let request = fleet.request_with(key, "POST", "/puxa403/2f", &attempt, 2_500);
            let answer = http::call(fleet.machines[machine].frontend(), &request, Duration::from_secs(3));
            if passed_on.has(&attempt) {
                late += 1;
                let status = answer.map(|(message, _)| message.status()).unwrap_or(0);
                fleet.record.line(&format!("client {attempt}: request with the key {key}, sent {} ms after the acknowledgement, ran; answer {status}", sent.as_millis()));
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    late
}
