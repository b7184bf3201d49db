//! Processor time and memory of routers, read from `/proc`.

use std::path::Path;

/// Clock ticks per second in `/proc/*/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Size of a memory page, in bytes.
const PAGE_BYTES: f64 = 4_096.0;
/// Index of the user time among the fields after the command name in `/proc/*/stat`.
const USER_TIME_FIELD: usize = 11;

/// Threads or processes whose usage is measured.
#[derive(Debug, Clone)]
pub(super) enum UsageSource {
    /// Threads of this process whose names have this prefix.
    Threads(&'static str),
    /// Processes with these ids.
    Processes(Vec<u32>),
}

impl UsageSource {
    /// Processor time used so far, in seconds.
    pub(super) fn cpu_seconds(&self) -> f64 {
        match self {
            Self::Threads(prefix) => thread_seconds(prefix),
            Self::Processes(pids) => {
                let times = pids
                    .iter()
                    .filter_map(|pid| stat_of(format!("/proc/{pid}")));
                times.map(|(_, seconds)| seconds).sum()
            }
        }
    }

    /// Resident memory, in bytes; for threads, that of the whole process.
    pub(super) fn resident_bytes(&self) -> f64 {
        match self {
            Self::Threads(_) => resident("self"),
            Self::Processes(pids) => pids.iter().map(|pid| resident(&pid.to_string())).sum(),
        }
    }
}

fn thread_seconds(prefix: &str) -> f64 {
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    let stats = tasks.flatten().filter_map(|task| stat_of(task.path()));
    let own = stats.filter(|(name, _)| name.starts_with(prefix));
    own.map(|(_, seconds)| seconds).sum()
}

/// Name and processor time in seconds of the process or thread in the `/proc` directory `folder`.
fn stat_of(folder: impl AsRef<Path>) -> Option<(String, f64)> {
    let text = std::fs::read_to_string(folder.as_ref().join("stat")).ok()?;
    let (head, fields) = text.rsplit_once(") ")?;
    let (_, name) = head.split_once('(')?;
    let mut times = fields.split(' ').skip(USER_TIME_FIELD);
    let user: f64 = times.next()?.parse().ok()?;
    let system: f64 = times.next()?.parse().ok()?;
    Some((name.to_owned(), (user + system) / TICKS_PER_SECOND))
}

fn resident(process: &str) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/statm")).unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|field| field.parse().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}
