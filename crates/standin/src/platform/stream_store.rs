//! Log service: its streams, retention rules and limits.

use std::collections::HashMap;
use std::time::Duration;

use ferry_decisions::value_type;
use ferry_kernel::wall_clock;
use ferry_platform::log::ReadAnswer;
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::Instant;

use super::log_stream::LogStream;

/// Maximum number of streams.
const STREAM_LIMIT: usize = 4_096;
/// Maximum number of retention rules.
const RULE_LIMIT: usize = 1_000;
/// Maximum length of a stream's name, in bytes.
const NAME_LIMIT: usize = 128;
/// Maximum time for which a read waits for a record.
const MAX_READ_WAIT: Duration = Duration::from_secs(60);

value_type! {
    /// Limits on the retained records of a stream.
    #[serde(default)]
    pub struct RetentionRule {
        /// Prefix of the names of the affected streams; empty for all streams.
        pub stream: String,
        /// Maximum number of retained records.
        pub keep_records: usize,
        /// Maximum total size of the retained records, in bytes.
        pub keep_bytes: usize,
        /// Maximum age of a retained record, in milliseconds.
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

/// Reason why an append is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(super) enum AppendError {
    /// The append exceeds the rate limit.
    #[error("more appends than the log takes in a second; append less often")]
    TooFast,
    /// The name is not a valid stream name.
    #[error("the stream's name must have 1 to 128 of the characters a-z 0-9 / _ . -")]
    BadName,
    /// The maximum number of streams has been reached.
    #[error("the log holds as many streams as it can; use an existing one")]
    TooManyStreams,
}

/// Streams of the log service.
#[derive(Debug)]
pub(super) struct StreamStore {
    streams: Mutex<HashMap<String, LogStream>>,
    /// Of the rules that match a stream, the one with the longest prefix applies.
    rules: Mutex<Vec<RetentionRule>>,
    append_limiter: Mutex<AppendLimiter>,
}

impl StreamStore {
    pub(super) fn new(retention: RetentionRule, appends_per_second: u32) -> Self {
        Self {
            streams: Mutex::default(),
            rules: Mutex::new(vec![retention]),
            append_limiter: Mutex::new(AppendLimiter::new(appends_per_second)),
        }
    }

    /// Adds a rule, or replaces the one with the same prefix; returns false when the limit of rules
    /// is reached.
    pub(super) fn set_retention(&self, rule: &RetentionRule) -> bool {
        let mut rules = self.rules.lock();
        rules.retain(|old| old.stream != rule.stream);
        let has_room = rules.len() < RULE_LIMIT;
        if has_room {
            rules.push(rule.clone());
        }
        has_room
    }

    /// Appends a record to the stream `name`, which is created if needed, and returns its offset.
    pub(super) fn append(&self, name: &str, data: String) -> Result<u64, AppendError> {
        if !is_stream_name(name) {
            return Err(AppendError::BadName);
        }
        if !self.append_limiter.lock().try_acquire() {
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

    /// Waits up to `wait` until the stream `name` has a record at offset `from`.
    pub(super) async fn wait_for_record(&self, name: &str, from: u64, wait: Duration) {
        if let Some(mut growth) = self.growth(name) {
            let wait_for_record = growth.wait_for(|next| *next > from);
            let _ = tokio::time::timeout(wait.min(MAX_READ_WAIT), wait_for_record).await;
        }
    }

    /// Reads at most `max` records of the stream `name`, starting at offset `from`.
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

    /// Receiver of the next offset of the stream `name`, which is created for the wait; absent when
    /// a new stream would exceed the limit or its name is not valid.
    fn growth(&self, name: &str) -> Option<watch::Receiver<u64>> {
        let mut streams = self.streams.lock();
        let has_room = streams.len() < STREAM_LIMIT && is_stream_name(name);
        if !streams.contains_key(name) && !has_room {
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

/// Rate limiter of appends: a token bucket that holds at most the appends of one second.
#[derive(Debug)]
struct AppendLimiter {
    rate: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl AppendLimiter {
    fn new(appends_per_second: u32) -> Self {
        let rate = f64::from(appends_per_second);
        Self {
            rate,
            tokens: rate,
            refilled_at: Instant::now(),
        }
    }

    fn try_acquire(&mut self) -> bool {
        let now = Instant::now();
        let refill = (now - self.refilled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + refill).min(self.rate);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
