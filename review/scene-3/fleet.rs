//! A small deployment: a store, replicas that register in it, and machines that run the program of the deploy file.

use std::collections::HashSet;
use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::ops::Range;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, End, Message};
use crate::store::Store;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
    fn setrlimit(resource: i32, limits: *const [u64; 2]) -> i32;
}

/// Option of `prctl`: the signal that the process gets when the test ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Interval of the replicas' entries; the store removes one after three intervals of silence.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const TENANT: &str = "hule930";

/// Lines of the record, each with the time since the start.
pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Arc<Self>> {
        Ok(Arc::new(Self { file: Mutex::new(File::create(path)?), started_at: Instant::now() }))
    }

    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub fn line(&self, text: &str) {
        let seconds = self.now().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:8.3} {text}");
    }
}

/// Limit of `setrlimit` on the number of descriptors.
const RLIMIT_NOFILE: i32 = 7;
/// Memory and descriptors of a machine.
#[derive(Clone, Copy)]
pub struct Size {
    pub memory_mb: u32,
    max_fds: u64,
}

/// Machines of opajg-intake.
pub const INTAKE: Size = Size { memory_mb: 260, max_fds: 4_100 };
/// The smallest machines of kowhai-convert-grown.
pub const KOWHAI: Size = Size { memory_mb: 120, max_fds: 3_075 };

/// Makes the process that `command` starts end with the test, however the test ends.
pub fn end_with_test(command: &mut Command) {
    // SAFETY: the call sets an attribute of the new process, and is allowed between its fork and its program.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        });
    }
}

/// A process of the test, which is killed at the end.
pub struct Process {
    child: Mutex<Child>,
    pub pid: i32,
}

impl Process {
    fn spawn(mut command: Command) -> io::Result<Self> {
        end_with_test(&mut command);
        Ok(Self::adopt(command.spawn()?))
    }

    pub fn adopt(child: Child) -> Self {
        let pid = child.id() as i32;
        Self { child: Mutex::new(child), pid }
    }

    pub fn signal(&self, signal: i32) {
        if self.is_running() {
            // SAFETY: the process has not been waited for, so that its id is its own.
            unsafe { kill(self.pid, signal) };
        }
    }

    pub fn is_running(&self) -> bool {
        matches!(self.child.lock().unwrap().try_wait(), Ok(None))
    }

    /// Resident memory in bytes.
    pub fn memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid)).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes: Option<u64> = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
        kilobytes.unwrap_or(0) * 1_024
    }
}

impl Process {
    /// Kills the process and waits until it has ended.
    fn end(&self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}

/// A machine that runs the program.
pub struct Machine {
    pub ip: IpAddr,
    pub process: Process,
}

impl Machine {
    pub fn frontend(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8227)
    }

    pub fn is_ready(&self) -> bool {
        let request = format!("GET /api/readyz HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", self.ip);
        let answer = http::call(SocketAddr::new(self.ip, 8220), request.as_bytes(), Duration::from_secs(1));
        answer.is_ok_and(|(message, _)| message.status() == 200)
    }
}

/// The deployment.
pub struct Fleet {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub machines: Vec<Machine>,
    net: [u8; 3],
    folder: PathBuf,
    next_id: AtomicU64,
    size: Size,
}

/// The entry of one start of a replica, which it writes until it is stopped or cut off.
pub struct Entry {
    pub reaches_store: Arc<AtomicBool>,
    is_alive: Arc<AtomicBool>,
}

impl Entry {
    pub fn end(&self) {
        self.is_alive.store(false, Ordering::SeqCst);
    }
}

impl Fleet {
    pub fn new(record: &Arc<Record>, size: Size) -> io::Result<Self> {
        let pid = std::process::id();
        let net = [127, 10 + (pid % 200) as u8, (pid / 200 % 250) as u8];
        let folder = std::env::temp_dir().join(format!("scene-3-{pid}"));
        fs::create_dir_all(&folder)?;
        let address = SocketAddr::from((Ipv4Addr::new(net[0], net[1], net[2], 2), 8223));
        Ok(Self {
            record: Arc::clone(record),
            store: Store::start(address)?,
            machines: Vec::new(),
            net,
            folder,
            next_id: AtomicU64::new(1),
            size,
        })
    }

    pub fn address(&self, last: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(self.net[0], self.net[1], self.net[2], last), port))
    }

    /// Writes a configuration with these routes.
    pub fn configure(&self, version: u32, routes: &str, services: &[&str]) {
        self.configure_keys(version, routes, services, &[KEY]);
    }

    /// The same with these keys of the tenant.
    pub fn configure_keys(&self, version: u32, routes: &str, services: &[&str], keys: &[&str]) {
        let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        let services: Vec<String> = services
            .iter()
            .map(|name| format!("{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConns\":360,\"protocol\":\"h1\",\"tls\":false}}"))
            .collect();
        let config = format!(
            "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"{TENANT}\",\"apiKeys\":[{}],\"priority\":1}}]}}",
            services.join(","),
            keys.join(",")
        );
        self.store.put("keyed.op", "config", config.as_bytes());
    }

    /// Starts the program on a machine, as the deploy file does.
    pub fn start_machine(&mut self, zone: &str) -> io::Result<()> {
        let number = self.machines.len() as u8;
        let address = self.address(10 + number, 8227);
        let machine = self.spawn(&format!("edge-{zone}-{}", number + 1), zone, address.ip())?;
        self.machines.push(machine);
        Ok(())
    }

    fn spawn(&self, name: &str, zone: &str, ip: IpAddr) -> io::Result<Machine> {
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, self.settings(name, zone, ip))?;
        let log = File::create(self.folder.join(format!("{name}.log")))?;
        let mut command = Command::new("target/release/ferry-relay");
        command.args(["--metrics-port", "9464"]).env_clear().env("CHESTNUTFERRY_SETTINGS", &path);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        let max_fds = self.size.max_fds;
        // SAFETY: the call sets a limit of the new process, and is allowed between its fork and its program.
        unsafe {
            command.pre_exec(move || {
                setrlimit(RLIMIT_NOFILE, &[max_fds, max_fds]);
                Ok(())
            });
        }
        Ok(Machine { ip, process: Process::spawn(command)? })
    }

    fn settings(&self, name: &str, zone: &str, ip: IpAddr) -> String {
        let store = self.address(2, 8223);
        let Size { memory_mb, max_fds } = self.size;
        format!(
            r#"nodeName = "{name}"
role = "router"
machineClass = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "ro-nord-vest"
portRange = [7340,7355]
seeds = []
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","rollout"]
[zones]
cluj-sala-a = "ro-nord-vest"
cluj-sala-b = "ro-nord-vest"
oradea-sala = "ro-nord-vest"
[listen]
frontend = "{ip}:8227"
ready = "{ip}:8220"
[limits]
cpuQuota = 0.25
cores = 1
memoryMb = {memory_mb}
maxFds = {max_fds}
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
nodes = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevoke = true
revokeMs = 5000
retryRatio = 0.9
retryWindowS = 10
retryBurst = 54
exposureShare = 0.15
exposureTolerance = 30
rollbackMs = 5000
recoveryS = 12
eventDelayMs = 120
reuseWindowS = 10
sessionS = 5
[platform]
address = "{store}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 12
appendMs = 2.0
partMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
"#
        )
    }

    /// Waits until all machines are ready; then a moment longer, as traffic starts some seconds after the machines do.
    pub fn wait_until_ready(&self) -> bool {
        for _ in 0..150 {
            if self.machines.iter().all(Machine::is_ready) {
                thread::sleep(Duration::from_secs(4));
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record.line("the machines did not become ready");
        false
    }

    /// Registers a replica, and keeps its entry as the pages say: a write each interval, a removal after three intervals of silence.
    pub fn register(&self, id: &str, service: &str, zone: &str, address: SocketAddr) -> Entry {
        let (reaches_store, is_alive) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicBool::new(true)));
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let entry = Entry { reaches_store: Arc::clone(&reaches_store), is_alive: Arc::clone(&is_alive) };
        let (store, record, id) = (Arc::clone(&self.store), Arc::clone(&self.record), id.to_owned());
        let text = format!("\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldLeftMs\":0,\"born\":{born}");
        thread::spawn(move || {
            let (mut sequence, mut written_at, mut is_listed) = (0, None::<Instant>, false);
            loop {
                let is_writing = is_alive.load(Ordering::SeqCst) && reaches_store.load(Ordering::SeqCst);
                let is_due = written_at.is_none_or(|at| at.elapsed() >= HEARTBEAT);
                if is_writing && is_due {
                    sequence += 1;
                    store.put("keyed.servers", &id, format!("{{{text},\"sequence\":{sequence}}}").as_bytes());
                    written_at = Some(Instant::now());
                    if !is_listed {
                        record.line(&format!("store: entry of {id} written"));
                    }
                    is_listed = true;
                }
                if is_listed && written_at.is_some_and(|at| at.elapsed() >= HEARTBEAT * 3) {
                    store.put("keyed.servers", &id, b"");
                    record.line(&format!("store: entry of {id} removed after three intervals of silence"));
                    is_listed = false;
                }
                if !is_listed && !is_alive.load(Ordering::SeqCst) {
                    return;
                }
                thread::sleep(Duration::from_millis(20));
            }
        });
        entry
    }

    pub fn attempt(&self) -> String {
        format!("{:016x}", self.next_id.fetch_add(1, Ordering::Relaxed) | 0x9c41_0000_0000_0000)
    }

    /// A client's request.
    pub fn request(&self, method: &str, path: &str, attempt: &str, deadline_ms: u64) -> Vec<u8> {
        self.request_with(KEY, method, path, attempt, deadline_ms)
    }

    /// A client's request with this key.
    pub fn request_with(&self, key: &str, method: &str, path: &str, attempt: &str, deadline_ms: u64) -> Vec<u8> {
        format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nChestnutferry-Attempt-Id: {attempt}\r\nChestnutferry-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\nContent-Length: 0\r\n\r\n").into_bytes()
    }

    /// Makes a client's call to a machine on a new connection.
    pub fn call(&self, machine: usize, method: &str, path: &str, attempt: &str, deadline_ms: u64) -> io::Result<(Message, End)> {
        let request = self.request(method, path, attempt, deadline_ms);
        http::call(self.machines[machine].frontend(), &request, Duration::from_millis(deadline_ms + 2_000))
    }

    /// The one of these machines that reads the store for the others of its zone, as their status at the metrics port says.
    pub fn reader_of(&self, machines: Range<usize>) -> Option<usize> {
        let is_reader = |machine: &usize| {
            let ip = self.machines[*machine].ip;
            let request = format!("GET /status HTTP/1.1\r\nHost: {ip}\r\nConnection: close\r\n\r\n");
            let answer = http::call(SocketAddr::new(ip, 9464), request.as_bytes(), Duration::from_secs(1));
            answer.is_ok_and(|(message, _)| String::from_utf8_lossy(&message.body).contains("\"fed\":false"))
        };
        machines.into_iter().find(is_reader)
    }

    /// Does what the platform does: ends the process of a machine that takes more than the machine's memory. Returns whether it has.
    pub fn watch_memory(self: &Arc<Self>, machine: usize, stop: &Arc<AtomicBool>) -> thread::JoinHandle<bool> {
        let (fleet, stop) = (Arc::clone(self), Arc::clone(stop));
        thread::spawn(move || {
            let process = &fleet.machines[machine].process;
            let mut most = 0;
            while !stop.load(Ordering::SeqCst) {
                let memory = process.memory();
                most = most.max(memory);
                if memory > u64::from(fleet.size.memory_mb) * 1_000_000 {
                    fleet.record.line(&format!("platform: the process takes {} MB, its machine has {}; it is killed", memory / 1_000_000, fleet.size.memory_mb));
                    process.signal(SIGKILL);
                    return true;
                }
                thread::sleep(Duration::from_millis(20));
            }
            fleet.record.line(&format!("platform: the process took {} MB at most", most / 1_000_000));
            false
        })
    }
}

/// The attempts that reached a replica.
#[derive(Clone, Default)]
pub struct PassedOn(Arc<Mutex<HashSet<String>>>);

impl PassedOn {
    pub fn add(&self, attempt: &str) {
        self.0.lock().unwrap().insert(attempt.to_owned());
    }

    pub fn has(&self, attempt: &str) -> bool {
        self.0.lock().unwrap().contains(attempt)
    }

    /// A sound replica; `plan` gives for a path the time that work takes, and the length of the answer.
    pub fn sound_replica(&self, id: &str, plan: impl Fn(&str) -> (Duration, usize) + Send + Sync + 'static) -> http::Handler {
        let (passed_on, id) = (self.clone(), id.to_owned());
        Arc::new(move |request, stream, _| {
            if request.path() == "/healthz" {
                stream.write_all(&http::framed(200, &[("Chestnutferry-Replica-Id", &id)], b""))?;
                return Ok(true);
            }
            let attempt = request.header("chestnutferry-attempt-id").unwrap_or("").to_owned();
            passed_on.0.lock().unwrap().insert(attempt.clone());
            let (work, length) = plan(request.path());
            thread::sleep(work);
            let headers = [
                ("Chestnutferry-Attempt-Id", attempt.as_str()),
                ("Chestnutferry-Replica-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
                ("Keep-Alive", "timeout=10"),
            ];
            stream.write_all(&http::framed(200, &headers, &vec![b'x'; length]))?;
            Ok(true)
        })
    }
}

impl Fleet {
    /// Ends all machines and removes the folder, also while other threads hold the fleet.
    pub fn end(&self) {
        for machine in &self.machines {
            machine.process.end();
        }
        if std::env::var_os("SCENE_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.end();
    }
}
