//! All streams of the log service, with its limits.

use std::collections::HashMap;
use std::time::Duration;

use ferry_decisions::value_type;
use ferry_kernel::wall_clock;
use ferry_platform::log::ReadAnswer;
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::Instant;

use super::log_stream::LogStream;

/// Streams that may exist.
const STREAM_LIMIT: usize = 4_096;
/// Retention rules that may exist.
const RULE_LIMIT: usize = 1_000;
/// Longest name of a stream, in bytes.
const NAME_LIMIT: usize = 128;
/// Longest wait of a read.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

value_type! {
    /// How long the records of a stream are kept.
    #[serde(default)]
    pub struct RetentionRule {
        /// Start of the names of the streams concerned; empty for all.
        pub stream: String,
        /// Most records kept.
        pub keep_records: usize,
        /// Most bytes kept.
        pub keep_bytes: usize,
        /// Greatest age of a record, in milliseconds.
        pub keep_ms: u64,
    }
}

impl Default for RetentionRule {
    fn default() -> Self {
        Self {
            stream: String::new(),
            keep_records: 200_000,
            keep_bytes: 256 * 1024 * 1024,
            keep_ms: 3_600_000,
        }
    }
}

/// Why an append is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(super) enum AppendError {
    /// Too many appends in this second.
    #[error("more appends than the log takes in a second; append less often")]
    TooFast,
    /// The name cannot be one of a stream.
    #[error("the stream's name must have 1 to 128 of the characters a-z 0-9 / _ . -")]
    BadName,
    /// No more streams.
    #[error("the log holds as many streams as it can; use an existing one")]
    TooManyStreams,
}

/// The log service.
#[derive(Debug)]
pub(super) struct StreamStore {
    streams: Mutex<HashMap<String, LogStream>>,
    /// Of the rules that fit a stream, the one with the longest start holds.
    rules: Mutex<Vec<RetentionRule>>,
    allowance: Mutex<AppendAllowance>,
}

impl StreamStore {
    pub(super) fn new(retention: RetentionRule, appends_per_second: u32) -> Self {
        Self {
            streams: Mutex::default(),
            rules: Mutex::new(vec![retention]),
            allowance: Mutex::new(AppendAllowance::new(appends_per_second)),
        }
    }

    /// Adds a rule, in the place of one for the same start of names; false when there is no room.
    pub(super) fn retain(&self, rule: &RetentionRule) -> bool {
        let mut rules = self.rules.lock();
        rules.retain(|old| old.stream != rule.stream);
        let room = rules.len() < RULE_LIMIT;
        if room {
            rules.push(rule.clone());
        }
        room
    }

    /// Appends `data` to the stream `name`.
    pub(super) fn append(&self, name: &str, data: String) -> Result<u64, AppendError> {
        if !is_stream_name(name) {
            return Err(AppendError::BadName);
        }
        if !self.allowance.lock().take() {
            return Err(AppendError::TooFast);
        }
        let rule = self.rule_for(name);
        let mut streams = self.streams.lock();
        if !streams.contains_key(name) && streams.len() >= STREAM_LIMIT {
            return Err(AppendError::TooManyStreams);
        }
        let now = wall_clock::now();
        let stream = streams.entry(name.to_owned()).or_default();
        let offset = stream.append(now, data);
        stream.expire(&rule, now);
        Ok(offset)
    }

    /// Waits up to `wait` until the stream `name` has a record at `from`.
    pub(super) async fn grown(&self, name: &str, from: u64, wait: Duration) {
        if let Some(mut growth) = self.growth(name) {
            let grown = growth.wait_for(|next| *next > from);
            let _ = tokio::time::timeout(wait.min(WAIT_LIMIT), grown).await;
        }
    }

    /// At most `max` records of the stream `name` from offset `from` on.
    pub(super) fn read(&self, name: &str, from: u64, max: usize) -> ReadAnswer {
        let rule = self.rule_for(name);
        let mut streams = self.streams.lock();
        match streams.get_mut(name) {
            Some(stream) => {
                stream.expire(&rule, wall_clock::now());
                stream.read(from, max)
            }
            None => ReadAnswer {
                earliest: 0,
                next: 0,
                records: Vec::new(),
            },
        }
    }

    /// Growth of the stream `name`, which is created for the wait if there is room.
    fn growth(&self, name: &str) -> Option<watch::Receiver<u64>> {
        let mut streams = self.streams.lock();
        let room = streams.len() < STREAM_LIMIT && is_stream_name(name);
        if !streams.contains_key(name) && !room {
            return None;
        }
        Some(streams.entry(name.to_owned()).or_default().growth())
    }

    fn rule_for(&self, name: &str) -> RetentionRule {
        self.rules
            .lock()
            .iter()
            .filter(|rule| name.starts_with(&rule.stream))
            .max_by_key(|rule| rule.stream.len())
            .cloned()
            .unwrap_or_default()
    }
}

fn is_stream_name(name: &str) -> bool {
    let allowed =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"/_.-".contains(&byte);
    (1..=NAME_LIMIT).contains(&name.len()) && name.bytes().all(allowed)
}

/// Token bucket that holds at most one second's appends.
#[derive(Debug)]
struct AppendAllowance {
    rate: f64,
    tokens: f64,
    filled: Instant,
}

impl AppendAllowance {
    fn new(appends_per_second: u32) -> Self {
        let rate = f64::from(appends_per_second);
        Self {
            rate,
            tokens: rate,
            filled: Instant::now(),
        }
    }

    fn take(&mut self) -> bool {
        let now = Instant::now();
        let earned = (now - self.filled).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + earned).min(self.rate);
        self.filled = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
