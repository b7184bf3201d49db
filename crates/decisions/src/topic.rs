//! Positions in the topics of a store that may come back from an older copy.
//!
//! The store numbers the states that it came back with as eras. Offsets go back with a new era and are given out again, so that an offset
//! means nothing without its era.

mod topic_position;

pub use topic_position::{ReadStep, StoreEra, TopicPosition};
