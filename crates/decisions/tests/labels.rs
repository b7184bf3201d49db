//! Label selectors of rules and cascade stages.

use ferry_decisions::labels::{LabelExpression, LabelSelector, LabelSet, SelectorOperator};

fn expression(operator: SelectorOperator, values: &[&str]) -> LabelSelector {
    let expression = LabelExpression {
        key: "size".to_owned(),
        operator,
        values: values.iter().map(|v| (*v).to_owned()).collect(),
    };
    LabelSelector {
        match_expressions: vec![expression],
        ..LabelSelector::default()
    }
}

#[test]
fn the_empty_selector_matches_everything() {
    let set = LabelSet::from_iter([("size", "small")]);
    assert!(LabelSelector::default().matches(&set));
    assert!(LabelSelector::default().matches(&LabelSet::default()));
}

#[test]
fn each_operator_compares_as_documented() {
    let small = LabelSet::from_iter([("size", "small")]);
    let none = LabelSet::default();
    assert!(expression(SelectorOperator::In, &["small", "large"]).matches(&small));
    assert!(!expression(SelectorOperator::In, &["large"]).matches(&small));
    assert!(!expression(SelectorOperator::In, &["small"]).matches(&none));
    assert!(expression(SelectorOperator::NotIn, &["small"]).matches(&none));
    assert!(!expression(SelectorOperator::NotIn, &["small"]).matches(&small));
    assert!(expression(SelectorOperator::Exists, &[]).matches(&small));
    assert!(expression(SelectorOperator::DoesNotExist, &[]).matches(&none));
}

#[test]
fn a_selector_with_missing_or_superfluous_values_has_a_problem() {
    assert!(expression(SelectorOperator::In, &[]).problem().is_some());
    assert!(
        expression(SelectorOperator::Exists, &["x"])
            .problem()
            .is_some()
    );
    assert!(
        expression(SelectorOperator::Exists, &[])
            .problem()
            .is_none()
    );
}
