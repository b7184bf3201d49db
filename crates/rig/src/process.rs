//! Child processes of the rig: start, signals and exit.

use std::fs::File;
use std::mem;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStdout, Command};
use tokio::time::{sleep, timeout};

/// Timeout for a process to announce its addresses, and for a process to exit.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between two checks whether a process has stopped.
const STOP_POLL: Duration = Duration::from_millis(1);

/// Failure to start a process, write its files or bind a port.
#[derive(Debug, thiserror::Error)]
pub enum RigError {
    /// A process did not start.
    #[error("{program} did not start: {reason}; see its log in {log}")]
    Start {
        /// Path of the program.
        program: String,
        /// Cause of the failure.
        reason: String,
        /// File that receives its standard error.
        log: String,
    },
    /// A file cannot be written, a port cannot be bound, or a relay cannot be started.
    #[error("the rig cannot write a file, bind a port or start a program: {0}")]
    File(#[from] std::io::Error),
}

/// A running process; killed when it is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
    /// Operating system's process id.
    pid: i32,
    /// First line of its standard output, a JSON object of addresses by name.
    pub announced: Value,
    /// File that receives its standard error.
    pub log: PathBuf,
    /// Keeps the pipe open, so that later writes of the process to its standard output do not fail.
    _stdout: BufReader<ChildStdout>,
}

impl ChildProcess {
    /// Starts `program` and waits for the JSON line in which it announces its addresses.
    ///
    /// # Errors
    ///
    /// Fails when the program does not start, or exits or times out before it announces its addresses.
    pub async fn start(program: &Path, arguments: &[String], log: &Path) -> Result<Self, RigError> {
        let failed = |reason: String| RigError::Start {
            program: program.display().to_string(),
            reason,
            log: log.display().to_string(),
        };
        let errors = File::options().create(true).append(true).open(log)?;
        let mut child = Command::new(program)
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(errors)
            .stdin(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| failed(error.to_string()))?;
        let stdout = child
            .stdout
            .take()
            .ok_or_else(|| failed("its standard output is not available".into()))?;
        let pid = child
            .id()
            .ok_or_else(|| failed("it exited at once".into()))? as i32;
        let mut stdout = BufReader::new(stdout);
        let mut line = String::new();
        match timeout(PROCESS_TIMEOUT, stdout.read_line(&mut line)).await {
            Ok(Ok(length)) if length > 0 => {}
            _ => return Err(failed("it announced no addresses".into())),
        }
        let announced = serde_json::from_str(&line).map_err(|error| failed(error.to_string()))?;
        Ok(Self {
            child,
            pid,
            announced,
            log: log.to_owned(),
            _stdout: stdout,
        })
    }

    /// Address that the process announced under `name`.
    ///
    /// # Panics
    ///
    /// Panics when the process announced no address of that name.
    pub fn address(&self, name: &str) -> String {
        let address = self.announced[name].as_str();
        address
            .expect("the process announces its addresses")
            .to_owned()
    }

    /// Operating system's process id.
    pub fn id(&self) -> i32 {
        self.pid
    }

    /// Kills the process (SIGKILL) and waits until it has exited.
    pub async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }

    /// Suspends the process (SIGSTOP) and waits until all its threads have stopped.
    ///
    /// # Panics
    ///
    /// Panics when the process does not stop within a minute.
    pub async fn freeze(&self) {
        self.signal(libc::SIGSTOP);
        let stopping = async {
            while !has_stopped(self.pid) {
                sleep(STOP_POLL).await;
            }
        };
        let stopped = timeout(PROCESS_TIMEOUT, stopping).await;
        stopped.expect("the process stops within the time allowed");
    }

    /// Resumes a suspended process (SIGCONT).
    pub fn thaw(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Asks the process to stop gracefully (SIGTERM).
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Waits for the process to exit; returns its exit code, or `None` when a signal ended it.
    ///
    /// # Panics
    ///
    /// Panics when the process does not exit within a minute.
    pub async fn wait(&mut self) -> Option<i32> {
        let status = timeout(PROCESS_TIMEOUT, self.child.wait()).await;
        let status = status
            .expect("the process exits within the time allowed")
            .expect("the exit status can be read");
        status.code()
    }

    /// Whether the process has not exited.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    fn signal(&self, signal: i32) {
        send_signal(self.pid, signal);
    }
}

/// Whether the child process `pid` has stopped since it was last asked for; each stop is told once.
fn has_stopped(pid: i32) -> bool {
    // SAFETY: `siginfo_t` consists of integers and pointers, for which zeros are valid.
    let mut info: libc::siginfo_t = unsafe { mem::zeroed() };
    // SAFETY: the kernel writes into `info` only; without WEXITED no child is reaped.
    unsafe {
        let options = libc::WSTOPPED | libc::WNOHANG;
        let result = libc::waitid(libc::P_PID, pid as libc::id_t, &raw mut info, options);
        result == 0 && info.si_pid() == pid
    }
}

/// Sends `signal` to the child process `pid`, which has not been waited for.
pub(crate) fn send_signal(pid: i32, signal: i32) {
    // SAFETY: a child that has not been waited for keeps its id, so the id cannot belong to another process.
    unsafe {
        libc::kill(pid, signal);
    }
}
