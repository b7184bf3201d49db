//! Statuses of answers, those of the incidents and all others.

use ferry_decisions::answer::{AnswerStatus, StatusError};

/// Replay of issue 70 and of what was played beside it: statuses that upstreams in trouble sent.
#[test]
fn statuses_of_upstreams_in_trouble_are_none_of_an_answer() {
    for status in [
        0,
        99,
        100,
        101,
        102,
        103,
        199,
        600,
        601,
        999,
        1_000,
        u16::MAX,
    ] {
        assert_eq!(AnswerStatus::try_from(status), Err(StatusError(status)));
    }
}

/// Load pattern: all statuses that a final answer may have.
#[test]
fn each_status_of_a_final_answer_is_one() {
    for status in 200..=599 {
        assert_eq!(AnswerStatus::try_from(status).unwrap().number(), status);
    }
}
