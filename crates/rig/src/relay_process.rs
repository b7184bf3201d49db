//! A relay as a process of its own, with its log in a file.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use ferry_kernel::http::{HttpClient, HttpRequest};
use ferry_platform::headers::READINESS_PATH;
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep, timeout};

use crate::process::{RigError, send_signal};

/// Port for callers.
const CALLERS_PORT: u16 = 7_310;
/// Port for the question whether the relay is ready.
const READINESS_PORT: u16 = 7_311;
/// Port for the other relays.
const PEER_PORT: u16 = 7_312;
/// Port for the metrics and the relay's view.
const METRICS_PORT: u16 = 7_313;
/// Time allowed for a process to end.
const END_WAIT: Duration = Duration::from_secs(60);
/// Pause between two looks at a process.
const LOOK_PAUSE: Duration = Duration::from_millis(2);
/// Time allowed for one question.
const ASK_LIMIT: Duration = Duration::from_secs(2);

/// A relay that can be signalled, killed and started again at the same addresses.
#[derive(Debug)]
pub struct RelayProcess {
    program: PathBuf,
    /// Settings that it reads.
    pub settings: PathBuf,
    /// Log of all its lives.
    pub log: PathBuf,
    ip: IpAddr,
    child: Option<Child>,
}

impl RelayProcess {
    /// Starts `program` as the host `host`, with settings made of the `sample` of the platform; its files
    /// lie in `folder`.
    ///
    /// # Errors
    ///
    /// Fails when a file can't be written or the program can't be started.
    pub fn start(
        program: &Path,
        folder: &Path,
        sample: &str,
        host: &str,
        store: SocketAddr,
    ) -> Result<Self, RigError> {
        let ip = own_loopback();
        let settings = folder.join(format!("{host}.toml"));
        let address = |port| SocketAddr::new(ip, port).to_string();
        let text = sample
            .replace("10.1.0.40:8227", &address(CALLERS_PORT))
            .replace("10.1.0.40:8220", &address(READINESS_PORT))
            .replace("[7340,7355]", &format!("[{PEER_PORT},{PEER_PORT}]"))
            .replace("10.200.1.7:8223", &store.to_string())
            .replace("edge-cluj-sala-a-1", host);
        std::fs::write(&settings, text)?;
        let mut relay = Self {
            program: program.to_owned(),
            settings,
            log: folder.join(format!("{host}.log")),
            ip,
            child: None,
        };
        relay.restart()?;
        Ok(relay)
    }

    /// Starts it again after it ended.
    ///
    /// # Errors
    ///
    /// Fails when the program can't be started.
    pub fn restart(&mut self) -> Result<(), RigError> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .arg("--metrics-port")
            .arg(METRICS_PORT.to_string())
            .stdin(Stdio::null())
            .stdout(log)
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Address for callers.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS_PORT)
    }

    /// Address of its metrics.
    pub fn metrics(&self) -> SocketAddr {
        SocketAddr::new(self.ip, METRICS_PORT)
    }

    /// Whether it says that it is ready.
    pub async fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.ip, READINESS_PORT);
        let question = HttpRequest::get(&format!("http://{address}{READINESS_PATH}"));
        let answer = HttpClient::default().send(question, ASK_LIMIT).await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    /// Whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Sends `signal` to the process if it has not ended.
    pub fn signal(&mut self, signal: i32) {
        if !self.is_running() {
            return;
        }
        if let Some(pid) = self.child.as_ref().and_then(Child::id) {
            send_signal(pid as i32, signal);
        }
    }

    /// Waits until the process has a handler for `signal`, or has ended: nothing that it does can save it
    /// from a signal that comes before its own code runs.
    pub async fn until_handles(&mut self, signal: i32) {
        let until = Instant::now() + END_WAIT;
        while self.is_running() && !self.handles(signal) && Instant::now() < until {
            sleep(LOOK_PAUSE).await;
        }
    }

    fn handles(&self, signal: i32) -> bool {
        let Some(pid) = self.child.as_ref().and_then(Child::id) else {
            return false;
        };
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
        let caught = caught.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
        caught.unwrap_or_default() & (1 << (signal - 1)) != 0
    }

    /// Kills the process and waits for its end.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// Waits for the process to end; gives its exit code, `None` if a signal ended it or it does not end.
    pub async fn wait(&mut self) -> Option<i32> {
        let mut child = self.child.take()?;
        let status = timeout(END_WAIT, child.wait()).await.ok()?;
        status.ok()?.code()
    }
}

/// A loopback address of this process's own, so that ports never meet those of another test.
fn own_loopback() -> IpAddr {
    static COUNT: AtomicU16 = AtomicU16::new(2);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let number = number.min(u16::from(u8::MAX) - 1) as u8;
    Ipv4Addr::new(127, high.max(1), low, number).into()
}
