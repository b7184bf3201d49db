//! One structured line of a router's log.

use serde::Deserialize;
use serde_json::{Map, Value};

/// A line as a router wrote it, and where it was found.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Router that wrote it: the last word before the line, as log collectors put it there, else the
    /// file's name.
    pub source: String,
    /// When it was written, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What it says.
    pub message: String,
    /// Facts of the decision.
    pub facts: Map<String, Value>,
}

#[derive(Deserialize)]
struct WrittenLine {
    timestamp: u64,
    payload: String,
    #[serde(default)]
    kv: Map<String, Value>,
}

impl LogLine {
    /// Reads a line of the file `file`; nothing if it is no structured line.
    pub fn parse(file: &str, text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let written: WrittenLine = serde_json::from_str(text[start..].trim_end()).ok()?;
        let mut words = text[..start].split_whitespace().rev();
        let host = words.find(|word| word.contains(char::is_alphabetic));
        Some(Self {
            source: host.unwrap_or(file).to_owned(),
            at_ms: written.timestamp,
            message: written.payload,
            facts: written.kv,
        })
    }

    /// A fact as text; empty if the line lacks it.
    pub fn fact(&self, name: &str) -> &str {
        self.facts
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// A fact as a number; 0 if the line lacks it.
    pub fn number(&self, name: &str) -> u64 {
        self.facts
            .get(name)
            .and_then(Value::as_u64)
            .unwrap_or_default()
    }

    /// All facts but the request's id, in one line.
    pub fn details(&self) -> String {
        let told = self.facts.iter().filter(|(name, value)| {
            name.as_str() != "request_id" && value.as_str().is_none_or(|text| !text.is_empty())
        });
        let told: Vec<_> = told
            .map(|(name, value)| match value.as_str() {
                Some(text) => format!("{name}={text}"),
                None => format!("{name}={value}"),
            })
            .collect();
        told.join(" ")
    }
}
