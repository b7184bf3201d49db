//! The platform's metadata store in its form as a log.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message};

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<Vec<u8>, (Vec<u8>, u64)>,
}

/// A store without limits; every answer is linearizable.
#[derive(Default)]
pub struct Store {
    topics: Mutex<HashMap<(String, u64), Topic>>,
    appended: Condvar,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Arc<Self>> {
        let store = Arc::new(Self::default());
        let served = Arc::clone(&store);
        http::serve(address, Arc::new(move |request, stream, _| {
            let answer = served.answer(request);
            stream.write_all(&answer)?;
            Ok(true)
        }))?;
        Ok(store)
    }

    /// Writes the value of a key; an empty one removes it.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.append(topic, 0, vec![record], None).ok();
    }

    fn append(&self, topic: &str, part: u64, records: Vec<Vec<u8>>, at: Option<u64>) -> Result<(u64, u64), u64> {
        let keyed = topic.starts_with("keyed.");
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry((topic.to_owned(), part)).or_default();
        let offset = topic.records.len() as u64;
        if at.is_some_and(|at| at != offset) {
            return Err(offset);
        }
        for record in records {
            if let Some(length) = record.first().map(|length| usize::from(*length)).filter(|_| keyed) {
                if record.len() > length {
                    let (key, value) = record[1..].split_at(length);
                    let number = topic.records.len() as u64;
                    match value.is_empty() {
                        true => topic.newest.remove(key),
                        false => topic.newest.insert(key.to_vec(), (value.to_vec(), number)),
                    };
                }
            }
            topic.records.push(record);
        }
        let end = topic.records.len() as u64;
        drop(topics);
        self.appended.notify_all();
        Ok((offset, end))
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let topic = request.query("topic").unwrap_or_default();
        let part = request.number("part").unwrap_or(0);
        match (request.method(), request.path()) {
            ("POST", "/api/log-append") => self.answer_append(request, &topic, part),
            ("GET", "/api/log-read") => self.answer_read(request, &topic, part),
            ("GET", "/api/log-newest") => self.answer_newest(request, &topic, part),
            _ => http::framed(404, &[("Store-Era", "1")], b"{}"),
        }
    }

    fn answer_append(&self, request: &Message, topic: &str, part: u64) -> Vec<u8> {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return json(403, "{}".to_owned());
        }
        let mut records = Vec::new();
        let mut rest = &request.body[..];
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            if rest.len() < 4 + length {
                return json(400, "{}".to_owned());
            }
            records.push(rest[4..4 + length].to_vec());
            rest = &rest[4 + length..];
        }
        match self.append(topic, part, records, request.number("at")) {
            Ok((offset, end)) => json(200, format!("{{\"offset\":{offset},\"endOffset\":{end}}}")),
            Err(end) => json(412, format!("{{\"endOffset\":{end}}}")),
        }
    }

    fn answer_read(&self, request: &Message, topic: &str, part: u64) -> Vec<u8> {
        let from = request.number("from").unwrap_or(0) as usize;
        let most = request.number("maxKb").unwrap_or(1_024) as usize * 1_024;
        let wait = Duration::from_millis(request.number("waitMs").unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        let mut topics = self.topics.lock().unwrap();
        loop {
            let records: &[Vec<u8>] = match topics.get(&(topic.to_owned(), part)) {
                Some(topic) => &topic.records,
                None => &[],
            };
            if from > records.len() {
                return json(410, "{\"firstOffset\":0}".to_owned());
            }
            let now = Instant::now();
            if records.len() > from || now >= until {
                let mut body = Vec::new();
                body.extend_from_slice(&(records.len() as u64).to_be_bytes());
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in &records[from..] {
                    if body.len() > 16 && body.len() + record.len() > most {
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return http::framed(200, &[("Store-Era", "1")], &body);
            }
            topics = self.appended.wait_timeout(topics, until - now).unwrap().0;
        }
    }

    fn answer_newest(&self, request: &Message, topic: &str, part: u64) -> Vec<u8> {
        let after = request.query("after").map(String::into_bytes);
        let topics = self.topics.lock().unwrap();
        let Some(topic) = topics.get(&(topic.to_owned(), part)) else {
            return json(200, "{\"entries\":[],\"hasMore\":false,\"endOffset\":0}".to_owned());
        };
        let keys = topic.newest.iter().filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after));
        let entries: Vec<String> = keys
            .clone()
            .take(500)
            .map(|(key, (value, offset))| {
                let key = String::from_utf8_lossy(key);
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
            })
            .collect();
        let has_more = keys.count() > 500;
        let end = topic.records.len();
        let entries = entries.join(",");
        json(200, format!("{{\"entries\":[{entries}],\"hasMore\":{has_more},\"endOffset\":{end}}}"))
    }
}

fn json(status: u16, body: String) -> Vec<u8> {
    let headers = [("Store-Era", "1"), ("Content-Type", "application/json")];
    http::framed(status, &headers, body.as_bytes())
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let word = (u32::from(group[0]) << 16)
            | (u32::from(*group.get(1).unwrap_or(&0)) << 8)
            | u32::from(*group.get(2).unwrap_or(&0));
        for place in 0..4 {
            match place <= group.len() {
                true => out.push(LETTERS[(word >> (18 - 6 * place)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}
