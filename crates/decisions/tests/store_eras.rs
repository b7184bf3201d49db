//! A store that comes back from an older copy: positions, and the operator's orders.

use std::time::Duration;

use ferry_decisions::rollout::{OrderHistory, OrderStep, RolloutOrder};
use ferry_decisions::topic::{ReadStep, StoreEra, TopicPosition};
use proptest::prelude::*;

fn at(era: u64, offset: u64) -> TopicPosition {
    TopicPosition::new(StoreEra(era), offset)
}

fn order(target: &str) -> RolloutOrder {
    RolloutOrder {
        service: "letters".into(),
        target: target.into(),
        duration: Duration::from_secs(10),
    }
}

/// Guards against readers that go on at an offset of an earlier era, also where the same offset exists again.
#[test]
fn a_reader_lists_again_in_a_new_era() {
    assert_eq!(at(1, 7).step_to(at(1, 9)), ReadStep::Apply);
    assert_eq!(at(1, 7).step_to(at(2, 4)), ReadStep::ListAgain);
    assert_eq!(at(1, 7).step_to(at(2, 9)), ReadStep::ListAgain);
}

/// Guards against answers that confirm what they do not know.
#[test]
fn an_answer_of_an_earlier_era_or_a_shorter_topic_is_refused() {
    assert_eq!(at(2, 4).step_to(at(1, 9)), ReadStep::Refuse);
    assert_eq!(at(1, 7).step_to(at(1, 4)), ReadStep::Refuse);
}

/// Guards against a roll-out that starts anew because its order was written again.
#[test]
fn an_order_that_is_written_again_in_a_new_era_goes_on() {
    let mut history = OrderHistory::default();
    assert_eq!(history.observe(&order("v2"), at(1, 5)), OrderStep::Begin);
    assert_eq!(history.observe(&order("v2"), at(2, 3)), OrderStep::Move);
    assert_eq!(history.observe(&order("v2"), at(2, 3)), OrderStep::Ignore);
    assert_eq!(history.observe(&order("v2"), at(2, 8)), OrderStep::Begin);
}

/// Guards against a replaced order of the copy that comes back into force, and against the loss of the newest one.
#[test]
fn a_replaced_order_of_the_copy_is_ignored() {
    let mut history = OrderHistory::default();
    assert_eq!(history.observe(&order("v2"), at(1, 5)), OrderStep::Begin);
    assert_eq!(history.observe(&order("v3"), at(1, 9)), OrderStep::Begin);
    assert_eq!(history.observe(&order("v2"), at(2, 5)), OrderStep::Ignore);
    assert_eq!(history.observe(&order("v3"), at(2, 7)), OrderStep::Move);
    assert_eq!(history.observe(&order("v4"), at(2, 9)), OrderStep::Begin);
}

/// Guards against a withdrawn order of the copy that comes back into force.
#[test]
fn a_withdrawn_order_of_the_copy_is_ignored() {
    let mut history = OrderHistory::default();
    assert_eq!(history.observe(&order("v2"), at(1, 5)), OrderStep::Begin);
    history.withdraw();
    assert_eq!(history.observe(&order("v2"), at(2, 5)), OrderStep::Ignore);
    assert_eq!(history.observe(&order("v2"), at(2, 6)), OrderStep::Begin);
}

proptest! {
    /// A position of a later era is beyond each one of an earlier era, whatever the offsets.
    #[test]
    fn later_eras_are_beyond(era in 0_u64..9, later in 1_u64..9, one in any::<u64>(), other in any::<u64>()) {
        prop_assert!(at(era + later, one) > at(era, other));
    }

    /// However often the store comes back, the newest order is in force and begins once.
    #[test]
    fn the_newest_order_begins_once(copy_ends in prop::collection::vec(0_u64..12, 1..4)) {
        let mut history = OrderHistory::default();
        let targets = ["v2", "v3", "v4"];
        let mut begun = 0;
        let mut log: Vec<&str> = Vec::new();
        for target in targets {
            log.push(target);
            begun += usize::from(history.observe(&order(target), at(1, log.len() as u64)) == OrderStep::Begin);
        }
        for (index, copy_end) in copy_ends.iter().enumerate() {
            let era = index as u64 + 2;
            log.truncate(*copy_end as usize);
            // A list has the newest order of the copy; the operator then writes its own again.
            if let Some(listed) = log.last() {
                begun += usize::from(history.observe(&order(listed), at(era, log.len() as u64)) == OrderStep::Begin);
            }
            log.push("v4");
            begun += usize::from(history.observe(&order("v4"), at(era, log.len() as u64)) == OrderStep::Begin);
        }
        // Without a loss, an order that is written again cannot be told from a new one of the same content.
        let kept = copy_ends.iter().filter(|end| **end >= 3).count();
        prop_assert!(begun <= targets.len() + kept);
    }
}
