//! A child process of the rig.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStdout, Command};
use tokio::time::timeout;

/// Time allowed for a process to announce its addresses, and for one to end.
const PROCESS_WAIT: Duration = Duration::from_secs(60);

/// Why the rig cannot do what a test asks.
#[derive(Debug, thiserror::Error)]
pub enum RigError {
    /// A process did not start.
    #[error("{program} did not start: {reason}; see its log in {log}")]
    Start {
        /// Program.
        program: String,
        /// What happened.
        reason: String,
        /// File with its standard error.
        log: String,
    },
    /// A file of the rig cannot be written.
    #[error("the rig cannot write its files: {0}")]
    File(#[from] std::io::Error),
}

/// A running process; killed when it is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
    /// Process id.
    pid: i32,
    /// First line of its standard output.
    pub announced: Value,
    /// File with its standard error.
    pub log: PathBuf,
    /// Keeps the pipe open, so that later output does not fail.
    _stdout: BufReader<ChildStdout>,
}

impl ChildProcess {
    /// Starts `program` and waits for the JSON line by which it announces its addresses.
    ///
    /// # Errors
    ///
    /// Fails when the program ends or stays silent.
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
            .ok_or_else(|| failed("no output".into()))?;
        let pid = child
            .id()
            .ok_or_else(|| failed("it ended at once".into()))? as i32;
        let mut stdout = BufReader::new(stdout);
        let mut line = String::new();
        match timeout(PROCESS_WAIT, stdout.read_line(&mut line)).await {
            Ok(Ok(length)) if length > 0 => {}
            _ => return Err(failed("it announced no address".into())),
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
    /// Panics when it announced none.
    pub fn address(&self, name: &str) -> String {
        let address = self.announced[name].as_str();
        address
            .expect("the process announces its addresses")
            .to_owned()
    }

    /// Identifier of the process.
    pub fn id(&self) -> i32 {
        self.pid
    }

    /// Kills the process (SIGKILL) and waits for its end.
    pub async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }

    /// Stops the process's execution (SIGSTOP).
    pub fn freeze(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Lets a frozen process go on (SIGCONT).
    pub fn thaw(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Asks the process to stop gracefully (SIGTERM).
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Waits for the process to end; gives its exit code, `None` if a signal ended it.
    ///
    /// # Panics
    ///
    /// Panics when it does not end within a minute.
    pub async fn wait(&mut self) -> Option<i32> {
        let status = timeout(PROCESS_WAIT, self.child.wait()).await;
        let status = status
            .expect("the process ends")
            .expect("it can be waited for");
        status.code()
    }

    /// Whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    fn signal(&self, signal: i32) {
        send_signal(self.pid, signal);
    }
}

/// Sends `signal` to the child with the id `pid`, which was not waited for.
pub(crate) fn send_signal(pid: i32, signal: i32) {
    // SAFETY: a child that was not waited for keeps its id, so that no other process is meant.
    unsafe {
        libc::kill(pid, signal);
    }
}
