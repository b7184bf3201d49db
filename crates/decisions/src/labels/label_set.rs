//! Set of labels: keys with one value each.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Labels of one object or request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LabelSet(BTreeMap<String, String>);

impl LabelSet {
    /// Value of the label `key`; `None` if it is not set.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }

    /// Sets the label `key` to `value`.
    pub fn insert(&mut self, key: &str, value: &str) {
        self.0.insert(key.to_owned(), value.to_owned());
    }

    /// Whether no label is set.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Labels as pairs of key and value, sorted by key.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(k, v)| (k.as_str(), v.as_str()))
    }
}

impl<'a> FromIterator<(&'a str, &'a str)> for LabelSet {
    fn from_iter<I: IntoIterator<Item = (&'a str, &'a str)>>(pairs: I) -> Self {
        Self(
            pairs
                .into_iter()
                .map(|(k, v)| (k.to_owned(), v.to_owned()))
                .collect(),
        )
    }
}
