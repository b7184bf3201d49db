//! A store that comes back from an older copy: positions, and the operator's orders.

use std::time::Duration;

use ferry_decisions::rollout::{OrderHistory, OrderStep, RolloutOrder};
use ferry_decisions::time::MonotonicTime;
use ferry_decisions::topic::{ReadStep, StoreEra, TopicPosition};
use proptest::prelude::*;

fn at(era: u64, offset: u64) -> TopicPosition {
    TopicPosition::new(StoreEra(era), offset)
}

fn millis(millis: u64) -> MonotonicTime {
    MonotonicTime::default().after(Duration::from_millis(millis))
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
    assert_eq!(
        history.observe(&order("v2"), at(1, 5), millis(0)),
        OrderStep::Begin
    );
    assert_eq!(
        history.observe(&order("v2"), at(2, 3), millis(0)),
        OrderStep::Move
    );
    assert_eq!(
        history.observe(&order("v2"), at(2, 3), millis(0)),
        OrderStep::Ignore
    );
    assert_eq!(
        history.observe(&order("v2"), at(2, 8), millis(60_000)),
        OrderStep::Begin
    );
}

/// Guards against a replaced order of the copy that comes back into force, and against the loss of the newest one.
#[test]
fn a_replaced_order_of_the_copy_is_ignored() {
    let mut history = OrderHistory::default();
    assert_eq!(
        history.observe(&order("v2"), at(1, 5), millis(0)),
        OrderStep::Begin
    );
    assert_eq!(
        history.observe(&order("v3"), at(1, 9), millis(0)),
        OrderStep::Begin
    );
    assert_eq!(
        history.observe(&order("v2"), at(2, 5), millis(0)),
        OrderStep::Ignore
    );
    assert_eq!(
        history.observe(&order("v3"), at(2, 7), millis(0)),
        OrderStep::Move
    );
    assert_eq!(
        history.observe(&order("v4"), at(2, 9), millis(0)),
        OrderStep::Begin
    );
}

/// Guards against a withdrawn order of the copy that comes back into force.
#[test]
fn a_withdrawn_order_of_the_copy_is_ignored() {
    let mut history = OrderHistory::default();
    assert_eq!(
        history.observe(&order("v2"), at(1, 5), millis(0)),
        OrderStep::Begin
    );
    history.withdraw();
    assert_eq!(
        history.observe(&order("v2"), at(2, 5), millis(0)),
        OrderStep::Ignore
    );
    assert_eq!(
        history.observe(&order("v2"), at(2, 6), millis(0)),
        OrderStep::Begin
    );
}

/// Guards against a roll-out that begins anew because the operator writes an order again that the copy holds.
#[test]
fn an_order_of_the_copy_that_is_written_again_goes_on() {
    let mut history = OrderHistory::default();
    assert_eq!(
        history.observe(&order("v2"), at(1, 5), millis(0)),
        OrderStep::Begin
    );
    assert_eq!(
        history.observe(&order("v2"), at(2, 5), millis(0)),
        OrderStep::Move
    );
    assert_eq!(
        history.observe(&order("v2"), at(2, 6), millis(900)),
        OrderStep::Move
    );
    assert_eq!(
        history.observe(&order("v2"), at(2, 7), millis(1_800)),
        OrderStep::Begin
    );
}

#[test]
fn the_same_order_long_after_the_return_of_the_store_is_a_new_one() {
    let mut history = OrderHistory::default();
    assert_eq!(
        history.observe(&order("v2"), at(1, 5), millis(0)),
        OrderStep::Begin
    );
    assert_eq!(
        history.observe(&order("v2"), at(2, 5), millis(0)),
        OrderStep::Move
    );
    assert_eq!(
        history.observe(&order("v2"), at(2, 6), millis(60_000)),
        OrderStep::Begin
    );
}

proptest! {
    /// A position of a later era is beyond each one of an earlier era, whatever the offsets.
    #[test]
    fn later_eras_are_beyond(era in 0_u64..9, later in 1_u64..9, one in any::<u64>(), other in any::<u64>()) {
        prop_assert!(at(era + later, one) > at(era, other));
    }

    /// However often the store comes back, and whatever its copies hold, each order begins once and the newest one stays in force.
    #[test]
    fn each_order_begins_once(copy_ends in prop::collection::vec(0_usize..6, 1..4)) {
        let mut history = OrderHistory::default();
        let mut begun = Vec::new();
        let mut log: Vec<&str> = Vec::new();
        for target in ["v2", "v3", "v4"] {
            log.push(target);
            if history.observe(&order(target), at(1, log.len() as u64), millis(0)) == OrderStep::Begin {
                begun.push(target);
            }
        }
        for (index, copy_end) in copy_ends.into_iter().enumerate() {
            let era = index as u64 + 2;
            log.truncate(copy_end);
            // A list has the newest order of the copy; the operator then writes its own again.
            let listed = log.last().copied();
            log.push("v4");
            let end = log.len() as u64;
            let records = listed.map(|target| (target, end - 1));
            for (target, offset) in records.into_iter().chain([("v4", end)]) {
                let now = millis(100 * era);
                if history.observe(&order(target), at(era, offset), now) == OrderStep::Begin {
                    begun.push(target);
                }
            }
        }
        prop_assert_eq!(begun, ["v2", "v3", "v4"]);
    }
}
