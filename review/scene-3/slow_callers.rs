//! Some callers read long answers slowly. The platform ends a process that holds more than its machine's memory.

use std::io::{self, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crate::fleet::{Fleet, KOWHAI, PassedOn, Record};
use crate::http;

const SERVICE: &str = "wuno96b";
/// Callers that read slowly, and the length of their answers.
const CALLERS: usize = 24;
const ANSWER_BYTES: usize = 8_000_000;
/// Time between two of them.
const PACE: Duration = Duration::from_millis(250);
/// What a slow caller reads at a time, and how often.
const READ_BYTES: usize = 20_000;
const READ_PAUSE: Duration = Duration::from_millis(200);
/// Connections that carry usual requests, one after the other.
const KEPT: usize = 12;
/// Time that usual work takes.
const WORK: Duration = Duration::from_millis(400);

/// What becomes of the requests on kept connections.
#[derive(Default)]
struct Counts {
    answered: AtomicUsize,
    /// Closed with no answer although the request was passed on.
    lost: AtomicUsize,
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> io::Result<Option<bool>> {
    let mut fleet = Fleet::new(record, KOWHAI)?;
    let route = format!("{{\"name\":\"r-once\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/puxa403/\",\"routeKind\":\"non_idempotent\",\"timeoutMs\":25000,\"targetLatencyMs\":4000,\"priority\":0,\"service\":\"{SERVICE}\",\"attempts\":3,\"public\":false,\"sticky\":false}}");
    fleet.configure(7, &route, &[SERVICE]);
    let passed_on = PassedOn::default();
    for number in 0..3_u8 {
        let address = fleet.address(100 + number, 8080);
        let id = format!("i-{number}");
        let plan = |path: &str| match path.starts_with("/puxa403/long/") {
            true => (Duration::ZERO, ANSWER_BYTES),
            false => (WORK, 800),
        };
        http::serve(address, passed_on.sound_replica(&id, plan))?;
        fleet.register(&id, SERVICE, "cluj-sala-a", address);
    }
    fleet.start_machine("cluj-sala-a")?;
    fleet.start_machine("cluj-sala-a")?;
    if !fleet.wait_until_ready() {
        return Ok(None);
    }
    let fleet = Arc::new(fleet);
    let (stop, counts) = (Arc::new(AtomicBool::new(false)), Arc::new(Counts::default()));
    let mut threads = Vec::new();
    for _ in 0..KEPT {
        let (fleet, stop, counts, passed_on) = (Arc::clone(&fleet), Arc::clone(&stop), Arc::clone(&counts), passed_on.clone());
        threads.push(thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let _ = keep_calling(&fleet, &stop, &counts, &passed_on);
                thread::sleep(Duration::from_millis(200));
            }
        }));
    }
    let platform = fleet.watch_memory(0, &stop);
    thread::sleep(Duration::from_secs(2));
    record.line(&format!("{CALLERS} callers ask for {ANSWER_BYTES} bytes each, {}", if has_trouble { "and read slowly" } else { "and read at once" }));
    for _ in 0..CALLERS {
        let (fleet, stop) = (Arc::clone(&fleet), Arc::clone(&stop));
        threads.push(thread::spawn(move || {
            let attempt = fleet.attempt();
            let read = read_long_answer(&fleet, &stop, &attempt, has_trouble);
            match read {
                Ok(bytes) => fleet.record.line(&format!("caller {attempt} has read {bytes} bytes")),
                Err(error) => fleet.record.line(&format!("caller {attempt}: {:?}", error.kind())),
            }
        }));
        thread::sleep(PACE);
    }
    thread::sleep(Duration::from_secs(8));
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let was_ended = platform.join().unwrap_or(false);
    let (answered, lost) = (counts.answered.load(Ordering::SeqCst), counts.lost.load(Ordering::SeqCst));
    record.line(&format!("the process was ended by the platform: {was_ended}"));
    record.line(&format!("LOST: {answered} requests on kept connections were answered; {lost} were passed on to a replica and their connection closed without an answer; more than three break the rule"));
    fleet.end();
    Ok(Some(lost > 3))
}

/// Sends requests one after the other on one connection until it ends.
fn keep_calling(fleet: &Fleet, stop: &AtomicBool, counts: &Counts, passed_on: &PassedOn) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&fleet.machines[0].frontend(), Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while !stop.load(Ordering::SeqCst) {
        let attempt = fleet.attempt();
        stream.write_all(&fleet.request("POST", "/puxa403/2f", &attempt, 5_000))?;
        match http::read_answer(&mut reader) {
            Ok(_) => {
                counts.answered.fetch_add(1, Ordering::SeqCst);
            }
            Err(error) => {
                let was_passed_on = passed_on.has(&attempt);
                fleet.record.line(&format!("client {attempt}: connection closed without an answer ({:?}), passed on to a replica: {was_passed_on}", error.kind()));
                counts.lost.fetch_add(usize::from(was_passed_on), Ordering::SeqCst);
                return Err(error);
            }
        }
    }
    Ok(())
}

fn read_long_answer(fleet: &Fleet, stop: &AtomicBool, attempt: &str, is_slow: bool) -> io::Result<usize> {
    let mut stream = TcpStream::connect_timeout(&fleet.machines[0].frontend(), Duration::from_secs(1))?;
    stream.write_all(&fleet.request("POST", &format!("/puxa403/long/{attempt}"), attempt, 25_000))?;
    let (mut bytes, mut buffer) = (0, vec![0; READ_BYTES]);
    while bytes < ANSWER_BYTES && !stop.load(Ordering::SeqCst) {
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            break;
        }
        bytes += count;
        if is_slow {
            thread::sleep(READ_PAUSE);
        }
    }
    Ok(bytes)
}
