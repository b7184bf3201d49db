//! Label selectors: conditions on a label set.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::LabelSet;

/// Conditions on labels, all of which must hold. The empty selector matches everything.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LabelSelector {
    /// Labels that must have exactly the given values.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub match_labels: BTreeMap<String, String>,
    /// Additional conditions, each on one label.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub match_expressions: Vec<LabelExpression>,
}

value_type! {
    /// One condition on one label.
    #[derive(Eq)]
    pub struct LabelExpression {
        /// Key of the label that the condition applies to.
        pub key: String,
        /// Comparison of the label with `values`.
        pub operator: SelectorOperator,
        /// Values to compare with; empty for `exists` and `does_not_exist`.
        #[serde(default)]
        pub values: Vec<String>,
    }
}

closed_set! {
    /// Comparison of a label with a list of values.
    pub enum SelectorOperator {
        /// The label is set to one of the values.
        In,
        /// The label is unset or set to none of the values.
        NotIn,
        /// The label is set.
        Exists,
        /// The label is not set.
        DoesNotExist,
    }
}

impl LabelSelector {
    /// Whether `labels` satisfies every condition.
    pub fn matches(&self, labels: &LabelSet) -> bool {
        let equal = self
            .match_labels
            .iter()
            .all(|(key, value)| labels.get(key) == Some(value));
        equal && self.match_expressions.iter().all(|e| e.matches(labels))
    }

    /// Whether the selector has no conditions and therefore matches everything.
    pub fn is_empty(&self) -> bool {
        self.match_labels.is_empty() && self.match_expressions.is_empty()
    }

    /// Description of the first malformed condition; `None` if all are well-formed.
    pub fn problem(&self) -> Option<String> {
        self.match_expressions
            .iter()
            .find_map(LabelExpression::problem)
    }
}

impl LabelExpression {
    /// Whether `labels` satisfies this condition.
    pub fn matches(&self, labels: &LabelSet) -> bool {
        let found = labels.get(&self.key);
        let listed = found.is_some_and(|value| self.values.iter().any(|v| v == value));
        match self.operator {
            SelectorOperator::In => listed,
            SelectorOperator::NotIn => !listed,
            SelectorOperator::Exists => found.is_some(),
            SelectorOperator::DoesNotExist => found.is_none(),
        }
    }

    fn problem(&self) -> Option<String> {
        let needs_values = matches!(
            self.operator,
            SelectorOperator::In | SelectorOperator::NotIn
        );
        match (needs_values, self.values.is_empty()) {
            (true, true) => Some(format!("label {:?}: list at least one value", self.key)),
            (false, false) => Some(format!("label {:?}: remove the values", self.key)),
            _ => None,
        }
    }
}
