//! A replica that asked for a rest is cut off from the store for some seconds, so that its entry lapses and returns; the machines and the replica
//! reach each other all the while.

use std::collections::HashMap;
use std::io::{self, Write};
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, PassedOn, Record, INTAKE};
use crate::http;

const SERVICE: &str = "wuno96b";
const WORK: Duration = Duration::from_millis(30);
const REQUESTS_PER_SECOND: f64 = 40.0;
/// Time for which the replica wants nothing, in seconds.
const REST: f64 = 15.0;
/// Time after which the rule counts.
const REACTION: Duration = Duration::from_millis(500);
/// Most requests of one machine in that time.
const MOST: usize = 2;
/// Time for which the replica is cut off from the store.
const CUT: Duration = Duration::from_millis(5_000);
/// Time for which the case goes on after that.
const AFTER: Duration = Duration::from_secs(10);

/// What the replica saw of the requests that reached it.
#[derive(Default)]
struct Seen {
    /// When each request arrived, and from which machine.
    arrivals: Vec<(Duration, IpAddr)>,
    /// When it answered each machine 503 with Retry-After.
    told: HashMap<IpAddr, Duration>,
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> io::Result<Option<bool>> {
    let mut fleet = Fleet::new(record, INTAKE)?;
    let route = format!("{{\"name\":\"r-many\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/cufi504/\",\"routeKind\":\"idempotent\",\"timeoutMs\":2500,\"targetLatencyMs\":1500,\"priority\":2,\"service\":\"{SERVICE}\",\"attempts\":3,\"public\":false,\"sticky\":false}}");
    fleet.configure(7, &route, &[SERVICE]);
    let asking = Arc::new(AtomicBool::new(false));
    let seen = Arc::new(Mutex::new(Seen::default()));
    let passed_on = PassedOn::default();
    let mut entries = Vec::new();
    for number in 0..3_u8 {
        let address = fleet.address(100 + number, 8080);
        let id = format!("i-{number}");
        let sound = passed_on.sound_replica(&id, |_| (WORK, 800));
        let handler = match number {
            0 => resting_replica(record, sound, &asking, &seen),
            _ => sound,
        };
        http::serve(address, handler)?;
        entries.push(fleet.register(&id, SERVICE, "cluj-sala-a", address));
    }
    for _ in 0..3 {
        fleet.start_machine("cluj-sala-a")?;
    }
    if !fleet.wait_until_ready() {
        return Ok(None);
    }
    let fleet = Arc::new(fleet);
    let stop = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicUsize::new(0));
    let traffic = send_traffic(&fleet, &stop, &answered);
    thread::sleep(Duration::from_secs(3));
    record.line("replica i-0 wants a rest");
    asking.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(1));
    if has_trouble {
        record.line("replica i-0 is cut off from the store");
        entries[0].reaches_store.store(false, Ordering::SeqCst);
    }
    thread::sleep(CUT);
    record.line("replica i-0 reaches the store");
    entries[0].reaches_store.store(true, Ordering::SeqCst);
    thread::sleep(AFTER);
    stop.store(true, Ordering::SeqCst);
    let sent = traffic.join().unwrap_or(0);
    record.line(&format!("clients sent {sent} requests, {} were answered with 200", answered.load(Ordering::SeqCst)));
    let seen = seen.lock().unwrap();
    if seen.told.is_empty() {
        return Ok(None);
    }
    let mut is_broken = false;
    for (machine, told) in &seen.told {
        let counted = *told + REACTION..*told + Duration::from_secs_f64(REST);
        let reached = seen.arrivals.iter().filter(|(at, ip)| ip == machine && counted.contains(at)).count();
        record.line(&format!("BUDGET: {reached} requests from {machine} between half a second after its 503 with Retry-After and the end of that time; more than {MOST} break the rule"));
        is_broken |= reached > MOST;
    }
    fleet.end();
    Ok(Some(is_broken))
}

/// A replica that answers the first request of each machine 503 with Retry-After once `asking` is set, and serves what reaches it after that.
fn resting_replica(record: &Arc<Record>, sound: http::Handler, asking: &Arc<AtomicBool>, seen: &Arc<Mutex<Seen>>) -> http::Handler {
    let (record, asking, seen) = (Arc::clone(record), Arc::clone(asking), Arc::clone(seen));
    Arc::new(move |request, stream, machine| {
        if request.path() == "/healthz" {
            return sound(request, stream, machine);
        }
        let attempt = request.header("chestnutferry-attempt-id").unwrap_or("");
        record.line(&format!("replica i-0: {attempt} from {machine}"));
        let is_told = {
            let mut seen = seen.lock().unwrap();
            seen.arrivals.push((record.now(), machine));
            seen.told.contains_key(&machine)
        };
        if is_told || !asking.load(Ordering::SeqCst) {
            return sound(request, stream, machine);
        }
        let seconds = format!("{REST}");
        let headers = [("Chestnutferry-Attempt-Id", attempt), ("Chestnutferry-Not-Executed", "1"), ("Retry-After", seconds.as_str())];
        stream.write_all(&http::framed(503, &headers, b""))?;
        seen.lock().unwrap().told.insert(machine, record.now());
        record.line(&format!("replica i-0: 503 with Retry-After: {seconds} to {machine}"));
        Ok(true)
    })
}

/// Sends requests to the machines in turn, each on a connection of its own; returns their number.
fn send_traffic(fleet: &Arc<Fleet>, stop: &Arc<AtomicBool>, answered: &Arc<AtomicUsize>) -> thread::JoinHandle<usize> {
    let (fleet, stop, answered) = (Arc::clone(fleet), Arc::clone(stop), Arc::clone(answered));
    thread::spawn(move || {
        let (began, mut sent, mut calls) = (Instant::now(), 0_usize, Vec::new());
        while !stop.load(Ordering::SeqCst) {
            let due = began + Duration::from_secs_f64(sent as f64 / REQUESTS_PER_SECOND);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let machine = sent % fleet.machines.len();
            sent += 1;
            let (fleet, answered) = (Arc::clone(&fleet), Arc::clone(&answered));
            calls.push(thread::spawn(move || {
                let attempt = fleet.attempt();
                let answer = fleet.call(machine, "GET", &format!("/cufi504/{attempt}"), &attempt, 2_500);
                match answer {
                    Ok((message, _)) if message.status() == 200 => {
                        answered.fetch_add(1, Ordering::SeqCst);
                    }
                    Ok((message, _)) => fleet.record.line(&format!("client {attempt} got {}", message.first)),
                    Err(error) => fleet.record.line(&format!("client {attempt} got no answer: {:?}", error.kind())),
                }
            }));
        }
        for call in calls {
            let _ = call.join();
        }
        sent
    })
}
