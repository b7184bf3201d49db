//! Records that are logged once each.

use ferry_decisions::topic::{LoggedRecords, StoreEra, TopicPosition};

fn at(era: u64, offset: u64) -> (TopicPosition, u64) {
    (TopicPosition::new(StoreEra(era), offset), offset)
}

/// Load pattern: a list of odd entries that is read again after each change, in the order of its keys.
#[test]
fn records_that_are_listed_again_are_not_new() {
    let mut logged = LoggedRecords::default();
    let listed = [at(1, 9), at(1, 3), at(1, 5)];
    assert_eq!(logged.take_new(listed), listed);
    for _ in 0..100 {
        assert_eq!(logged.take_new(listed), []);
    }
    let changed = [at(1, 9), at(1, 12), at(1, 5), at(1, 10)];
    assert_eq!(logged.take_new(changed), [at(1, 12), at(1, 10)]);
    assert_eq!(logged.take_new(changed), []);
}

#[test]
fn offsets_of_a_later_era_are_new() {
    let mut logged = LoggedRecords::default();
    logged.take_new([at(1, 9)]);
    assert_eq!(logged.take_new([at(2, 4)]), [at(2, 4)]);
    assert_eq!(logged.take_new([at(1, 10)]), []);
}
