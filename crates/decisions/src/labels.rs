//! Labels of configuration objects and requests, and selectors that match them.

mod label_selector;
mod label_set;

pub use label_selector::{LabelExpression, LabelSelector, SelectorOperator};
pub use label_set::LabelSet;
