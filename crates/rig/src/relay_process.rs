//! A relay that runs in a separate process and logs to a file.

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

/// Last byte of the first loopback address of a block.
const FIRST_ADDRESS: u8 = 2;
/// Number of loopback addresses of a block; further relays of a test program use the next block.
const ADDRESSES_PER_BLOCK: u16 = 250;
/// Port for callers.
const CALLERS_PORT: u16 = 7_310;
/// Port for readiness probes.
const READINESS_PORT: u16 = 7_311;
/// Port for other relays.
const PEER_PORT: u16 = 7_312;
/// Port for the metrics and the relay's status.
const METRICS_PORT: u16 = 7_313;
/// Timeout for a process to exit or to install a signal handler.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between two checks of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Timeout of a request for metrics.
const METRICS_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of one readiness probe.
const READINESS_TIMEOUT: Duration = Duration::from_secs(2);

/// A relay process that can be signalled, killed and restarted on the same addresses.
#[derive(Debug)]
pub struct RelayProcess {
    program: PathBuf,
    /// Settings file of the relay.
    pub settings: PathBuf,
    /// Log file, to which every run of the process appends.
    pub log: PathBuf,
    ip: IpAddr,
    child: Option<Child>,
}

impl RelayProcess {
    /// Starts `program` as the host `host`, with settings based on the platform's `sample`; its files are
    /// written to `folder`.
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
        let ip = unique_loopback();
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

    /// Starts the program again after it has exited.
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

    /// Address for metrics.
    pub fn metrics(&self) -> SocketAddr {
        SocketAddr::new(self.ip, METRICS_PORT)
    }

    /// Values of the metric `name`, one for each set of labels; none if the relay does not answer.
    pub async fn metric_values(&self, name: &str) -> Vec<f64> {
        let request = HttpRequest::get(&format!("http://{}/metrics", self.metrics()));
        let text = HttpClient::default().fetch(request, METRICS_TIMEOUT).await;
        let text = text.unwrap_or_default();
        let text = String::from_utf8_lossy(&text);
        let values = text.lines().filter_map(|line| {
            let is_value = line.split(['{', ' ']).next() == Some(name);
            let value = line.rsplit(' ').next()?;
            is_value.then(|| value.parse().ok()).flatten()
        });
        values.collect()
    }

    /// Whether the readiness probe succeeds.
    pub async fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.ip, READINESS_PORT);
        let probe = HttpRequest::get(&format!("http://{address}{READINESS_PATH}"));
        let answer = HttpClient::default().send(probe, READINESS_TIMEOUT).await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    /// Identifier of the process; `None` if it has not been started or was waited for.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// Whether the process has been started and has not exited.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Sends `signal` to the process if it has not exited.
    pub fn signal(&mut self, signal: i32) {
        if !self.is_running() {
            return;
        }
        if let Some(pid) = self.child.as_ref().and_then(Child::id) {
            send_signal(pid as i32, signal);
        }
    }

    /// Waits until the process has installed a handler for `signal`, or has exited, for at most a minute.
    ///
    /// A signal that arrives before the program's own code runs ends the process, whatever that code does.
    pub async fn wait_until_handled(&mut self, signal: i32) {
        let until = Instant::now() + PROCESS_TIMEOUT;
        while self.is_running() && !self.handles(signal) && Instant::now() < until {
            sleep(POLL_INTERVAL).await;
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

    /// Kills the process and waits until it has exited.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// Waits for the process to exit; returns its exit code, or `None` when a signal ended it or it does not
    /// exit within a minute.
    pub async fn wait(&mut self) -> Option<i32> {
        let mut child = self.child.take()?;
        let status = timeout(PROCESS_TIMEOUT, child.wait()).await.ok()?;
        status.ok()?.code()
    }
}

/// Returns a loopback address that is specific to this process and call, so that the fixed ports do not
/// conflict with those of other tests.
fn unique_loopback() -> IpAddr {
    static COUNT: AtomicU16 = AtomicU16::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let (block, number) = (count / ADDRESSES_PER_BLOCK, count % ADDRESSES_PER_BLOCK);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let high = high.wrapping_add(block as u8).max(1);
    Ipv4Addr::new(127, high, low, FIRST_ADDRESS + number as u8).into()
}
