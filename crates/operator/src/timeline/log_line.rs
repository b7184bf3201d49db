//! Structured line of a router's log.

use serde::Deserialize;
use serde_json::{Map, Value};

/// A log line, with the router that wrote it.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Router that wrote it: the last word with a letter in the prefix that a log collector put
    /// before the line, or the file's name if there is none.
    pub source: String,
    /// Time at which it was written, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Log message.
    pub message: String,
    /// Key-value fields of the line.
    pub fields: Map<String, Value>,
}

#[derive(Deserialize)]
struct RawLine {
    timestamp: u64,
    payload: String,
    #[serde(default)]
    kv: Map<String, Value>,
}

impl LogLine {
    /// Parses a line of the file `file`; `None` if it is not a structured log line.
    pub fn parse(file: &str, text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let raw: RawLine = serde_json::from_str(text[start..].trim_end()).ok()?;
        let mut words = text[..start].split_whitespace().rev();
        let host = words.find(|word| word.contains(char::is_alphabetic));
        Some(Self {
            source: host.unwrap_or(file).to_owned(),
            at_ms: raw.timestamp,
            message: raw.payload,
            fields: raw.kv,
        })
    }

    /// Text of the field `name`; empty if the line lacks it or it is not text.
    pub fn text_field(&self, name: &str) -> &str {
        self.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// Value of the field `name`; 0 if the line lacks it or it is not an unsigned integer.
    pub fn number_field(&self, name: &str) -> u64 {
        self.fields
            .get(name)
            .and_then(Value::as_u64)
            .unwrap_or_default()
    }

    /// All fields except the request's id and empty texts, as `name=value` pairs in one line.
    pub fn details(&self) -> String {
        let shown = self.fields.iter().filter(|(name, value)| {
            name.as_str() != "request_id" && value.as_str().is_none_or(|text| !text.is_empty())
        });
        let shown: Vec<_> = shown
            .map(|(name, value)| match value.as_str() {
                Some(text) => format!("{name}={text}"),
                None => format!("{name}={value}"),
            })
            .collect();
        shown.join(" ")
    }
}
