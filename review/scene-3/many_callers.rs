//! Many callers keep a connection to one machine each, fewer than the machine has descriptors. The platform ends a process that takes more than
//! its machine's memory.

use std::io::{self, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, KOWHAI, PassedOn, Record};
use crate::http;

const SERVICE: &str = "wuno96b";
/// Connections with the disruption and without it; a machine has 3,075 descriptors, 200 of which are for files.
const MANY: usize = 1_700;
const USUAL: usize = 300;
/// Threads that share them.
const THREADS: usize = 100;
/// Time in which they are opened.
const OPENING: Duration = Duration::from_secs(10);
/// Time from a request on a connection to the next one: less than four fifths of `idleTimeoutMs`.
const PERIOD: Duration = Duration::from_secs(10);
/// Time that work takes.
const WORK: Duration = Duration::from_millis(500);
/// Time for which the case is played.
const LENGTH: Duration = Duration::from_secs(25);

#[derive(Default)]
struct Counts {
    open: AtomicUsize,
    answered: AtomicUsize,
    lost: AtomicUsize,
}

struct Caller {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    due: Instant,
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> io::Result<Option<bool>> {
    let mut fleet = Fleet::new(record, KOWHAI)?;
    let route = format!("{{\"name\":\"r-once\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/puxa403/\",\"routeKind\":\"non_idempotent\",\"timeoutMs\":25000,\"targetLatencyMs\":4000,\"priority\":0,\"service\":\"{SERVICE}\",\"attempts\":3,\"public\":false,\"sticky\":false}}");
    fleet.configure(7, &route, &[SERVICE]);
    let passed_on = PassedOn::default();
    for number in 0..3_u8 {
        let address = fleet.address(100 + number, 8080);
        let id = format!("i-{number}");
        http::serve(address, passed_on.sound_replica(&id, |_| (WORK, 800)))?;
        fleet.register(&id, SERVICE, "cluj-sala-a", address);
    }
    fleet.start_machine("cluj-sala-a")?;
    fleet.start_machine("cluj-sala-a")?;
    if !fleet.wait_until_ready() {
        return Ok(None);
    }
    let connections = if has_trouble { MANY } else { USUAL };
    record.line(&format!("{connections} callers open a connection to {} and keep it", fleet.machines[0].frontend()));
    let fleet = Arc::new(fleet);
    let (stop, counts) = (Arc::new(AtomicBool::new(false)), Arc::new(Counts::default()));
    let platform = fleet.watch_memory(0, &stop);
    let threads: Vec<_> = (0..THREADS)
        .map(|number| {
            let (fleet, stop, counts, passed_on) = (Arc::clone(&fleet), Arc::clone(&stop), Arc::clone(&counts), passed_on.clone());
            let share = connections / THREADS;
            thread::spawn(move || keep_calling(&fleet, (number, share), &stop, &counts, &passed_on))
        })
        .collect();
    let (began, mut most_open) = (Instant::now(), 0);
    while began.elapsed() < LENGTH {
        thread::sleep(Duration::from_secs(1));
        let memory = fleet.machines[0].process.memory() / 1_000_000;
        let open = counts.open.load(Ordering::SeqCst);
        most_open = most_open.max(open);
        record.line(&format!("{open} connections open, the process takes {memory} MB"));
    }
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let was_ended = platform.join().unwrap_or(false);
    let (answered, lost) = (counts.answered.load(Ordering::SeqCst), counts.lost.load(Ordering::SeqCst));
    record.line(&format!("the process was ended by the platform: {was_ended}"));
    record.line(&format!("LOST: {answered} requests on kept connections were answered; {lost} were passed on to a replica and their connection closed without an answer; more than three break the rule"));
    // Fewer callers than there should be show nothing.
    let has_come = was_ended || most_open >= connections * 9 / 10;
    fleet.end();
    Ok(has_come.then_some(lost > 3))
}

/// Opens `share` connections one after the other, in turn with the other threads, and sends a request on each of them every period until all have ended.
fn keep_calling(fleet: &Fleet, (number, share): (usize, usize), stop: &AtomicBool, counts: &Counts, passed_on: &PassedOn) {
    let began = Instant::now();
    let callers: Mutex<Vec<Caller>> = Mutex::default();
    let mut opened = 0;
    while !stop.load(Ordering::SeqCst) {
        let mut callers = callers.lock().unwrap();
        if opened < share && began.elapsed() >= OPENING * (opened * THREADS + number) as u32 / (share * THREADS) as u32 {
            opened += 1;
            if let Ok(caller) = open(fleet) {
                counts.open.fetch_add(1, Ordering::SeqCst);
                callers.push(caller);
            }
        }
        let Some(index) = callers.iter().position(|caller| caller.due <= Instant::now()) else {
            drop(callers);
            thread::sleep(Duration::from_millis(2));
            continue;
        };
        match call(fleet, &mut callers[index], counts, passed_on) {
            Ok(()) => callers[index].due = Instant::now() + PERIOD,
            Err(_) => {
                callers.swap_remove(index);
                counts.open.fetch_sub(1, Ordering::SeqCst);
            }
        }
    }
}

fn open(fleet: &Fleet) -> io::Result<Caller> {
    let stream = TcpStream::connect_timeout(&fleet.machines[0].frontend(), Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let reader = BufReader::with_capacity(2_048, stream.try_clone()?);
    Ok(Caller { stream, reader, due: Instant::now() })
}

fn call(fleet: &Fleet, caller: &mut Caller, counts: &Counts, passed_on: &PassedOn) -> io::Result<()> {
    let attempt = fleet.attempt();
    caller.stream.write_all(&fleet.request("POST", "/puxa403/2f", &attempt, 5_000))?;
    match http::read_answer(&mut caller.reader) {
        Ok(_) => {
            counts.answered.fetch_add(1, Ordering::SeqCst);
            Ok(())
        }
        Err(error) => {
            if passed_on.has(&attempt) {
                counts.lost.fetch_add(1, Ordering::SeqCst);
                fleet.record.line(&format!("client {attempt}: connection closed without an answer ({:?}) after the request was passed on", error.kind()));
            }
            Err(error)
        }
    }
}
