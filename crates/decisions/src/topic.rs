//! Positions in the topics of a store that may come back from an older copy, and listings of their keys.
//!
//! The store numbers the states that it came back with as eras. Offsets go back with a new era and are given out again, so that an offset
//! means nothing without its era.

mod key_listing;
mod topic_position;

pub use key_listing::{KeyForm, KeyListing, ListingStep};
pub use topic_position::{ReadStep, StoreEra, TopicPosition};
