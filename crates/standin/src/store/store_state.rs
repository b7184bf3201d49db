//! HTTP API of the store, and its topics.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use bytes::Bytes;
use ferry_kernel::http::{HttpBody, collect_limited, full};
use ferry_platform::store::{
    AppendCondition, ERA_HEADER, KEYED_PREFIX, QueryFields, ReadQuery, StoreCall, StoreError,
    decode_records, encode_batch, encode_keyed, encode_refusal,
};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use super::StoreLimits;
use super::store_limits::LimitGate;
use super::topic_log::TopicLog;
use crate::reply;

/// Maximum size of the body of an append, in bytes.
const BODY_LIMIT: usize = 2 * 1024 * 1024;

/// Era of a store that never came back from an older copy.
const FIRST_ERA: u64 = 1;

/// Content of a store at one moment.
#[derive(Debug, Clone)]
pub struct StoreCopy {
    topics: HashMap<(String, u32), TopicLog>,
}

/// State of the store.
#[derive(Debug)]
pub(crate) struct StoreState {
    /// Log of each partition, by topic and partition number.
    topics: Mutex<HashMap<(String, u32), TopicLog>>,
    /// Number of appends, whose change wakes waiting reads.
    appends: watch::Sender<u64>,
    calls: AtomicU64,
    /// Number of pages of newest records given out, by topic.
    listed_pages: Mutex<HashMap<String, u64>>,
    /// Number that rises when the store comes back from an older copy.
    era: AtomicU64,
    limits: LimitGate,
    /// Whether keyed topics keep no record but the newest one of each key.
    forgets_history: AtomicBool,
}

impl Default for StoreState {
    fn default() -> Self {
        Self {
            topics: Mutex::default(),
            appends: watch::Sender::new(0),
            calls: AtomicU64::new(0),
            listed_pages: Mutex::default(),
            era: AtomicU64::new(FIRST_ERA),
            limits: LimitGate::default(),
            forgets_history: AtomicBool::new(false),
        }
    }
}

impl StoreState {
    pub(super) fn put(&self, topic: &str, key: &(impl AsRef<[u8]> + ?Sized), value: &[u8]) {
        if let Some(record) = encode_keyed(key, value) {
            let condition = AppendCondition::None;
            // An append without a condition is never refused.
            let _ = self.append(topic, 0, vec![record.into()], condition);
        }
    }

    pub(super) fn newest(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let topics = self.topics.lock();
        let log = topics.get(&(topic.to_owned(), 0))?;
        log.newest(key).map(|entry| entry.value.to_vec())
    }

    pub(super) fn compact(&self, topic: &str) {
        self.with_log(topic, 0, TopicLog::compact);
    }

    pub(super) fn forget_history(&self, forgets: bool) {
        self.forgets_history.store(forgets, Ordering::Relaxed);
    }

    pub(super) fn copy(&self) -> StoreCopy {
        StoreCopy {
            topics: self.topics.lock().clone(),
        }
    }

    pub(super) fn come_back_from(&self, copy: StoreCopy) -> StoreCopy {
        let mut topics = self.topics.lock();
        let lost = std::mem::replace(&mut *topics, copy.topics);
        self.era.fetch_add(1, Ordering::AcqRel);
        drop(topics);
        self.appends.send_modify(|count| *count += 1);
        StoreCopy { topics: lost }
    }

    pub(super) fn write_again(&self, topic: &str, lost: &StoreCopy) {
        let partition = (topic.to_owned(), 0);
        let Some(log) = lost.topics.get(&partition) else {
            return;
        };
        let present = self.with_log(topic, 0, |log| log.clone());
        for (key, entry) in log.entries() {
            if present.newest(key).map(|newest| &newest.value) != Some(&entry.value) {
                self.put(topic, key, &entry.value);
            }
        }
        for (key, _) in present.entries() {
            if log.newest(key).is_none() {
                self.put(topic, key, b"");
            }
        }
    }

    pub(super) fn limit(&self, limits: StoreLimits) {
        self.limits.set(limits);
    }

    pub(super) fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    pub(super) fn listed_pages(&self, topic: &str) -> u64 {
        let pages = self.listed_pages.lock();
        pages.get(topic).copied().unwrap_or_default()
    }

    /// Answers a call of the store's published protocol, with the era in which it was carried out.
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Response<HttpBody> {
        let mut response = self.carry_out(request).await;
        let era = self.era.load(Ordering::Acquire);
        response
            .headers_mut()
            .insert(ERA_HEADER, HeaderValue::from(era));
        response
    }

    async fn carry_out(&self, request: Request<Incoming>) -> Response<HttpBody> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        if !self.limits.admit() {
            let message = "more calls a second than the store takes; call again later";
            return reply::error(StatusCode::TOO_MANY_REQUESTS, message);
        }
        let (head, body) = request.into_parts();
        let query = QueryFields::of(&head.uri);
        let Some((partition, call)) = StoreCall::parse(&head.method, head.uri.path(), &query)
        else {
            return reply::error(StatusCode::NOT_FOUND, "no such call; see the store's page");
        };
        let (topic, part) = (partition.topic, partition.part);
        let result = match call {
            StoreCall::Append(condition) => match collect_limited(body, BODY_LIMIT).await {
                Ok(body) => self.append_body(topic, part, body, condition),
                Err(error) => Err(StoreError::Unreadable(error.to_string())),
            },
            StoreCall::Read(query) => self.read(topic, part, query).await,
            StoreCall::Newest(after) => Ok(self.list_page(topic, part, after)),
        };
        match result {
            Ok(body) => {
                self.limits.wait_turn(body.len()).await;
                Response::new(self.limits.paced(body))
            }
            Err(error) => {
                let (status, body) = encode_refusal(&error);
                let mut response = Response::new(full(body));
                *response.status_mut() = status;
                response
            }
        }
    }

    fn append_body(
        &self,
        topic: &str,
        part: u32,
        body: Bytes,
        condition: AppendCondition<'_>,
    ) -> Result<Bytes, StoreError> {
        let records = decode_records(body)?;
        let appended = self.append(topic, part, records, condition)?;
        Ok(serde_json::to_vec(&appended).unwrap_or_default().into())
    }

    fn append(
        &self,
        topic: &str,
        part: u32,
        records: Vec<Bytes>,
        condition: AppendCondition<'_>,
    ) -> Result<ferry_platform::store::Appended, StoreError> {
        let is_keyed = topic.starts_with(KEYED_PREFIX);
        let forgets = is_keyed && self.forgets_history.load(Ordering::Relaxed);
        let appended = self.with_log(topic, part, |log| {
            let appended = log.append(records, condition, is_keyed)?;
            if forgets {
                log.compact();
            }
            Ok::<_, StoreError>(appended)
        })?;
        self.appends.send_modify(|count| *count += 1);
        Ok(appended)
    }

    fn list_page(&self, topic: &str, part: u32, after: Option<&str>) -> Bytes {
        *self
            .listed_pages
            .lock()
            .entry(topic.to_owned())
            .or_default() += 1;
        let page = self.with_log(topic, part, |log| log.page(after));
        page.encode().into()
    }

    async fn read(&self, topic: &str, part: u32, query: ReadQuery) -> Result<Bytes, StoreError> {
        let until = Instant::now() + query.wait;
        let mut appends = self.appends.subscribe();
        loop {
            let batch = self.with_log(topic, part, |log| log.read(query))?;
            if !batch.records.is_empty() {
                return Ok(encode_batch(&batch));
            }
            if !matches!(timeout_at(until, appends.changed()).await, Ok(Ok(()))) {
                return Ok(encode_batch(&batch));
            }
        }
    }

    fn with_log<R>(&self, topic: &str, part: u32, action: impl FnOnce(&mut TopicLog) -> R) -> R {
        let mut topics = self.topics.lock();
        action(topics.entry((topic.to_owned(), part)).or_default())
    }
}
