//! Positions in the topics of a store that may come back from an older copy, listings of their keys, and records that are logged once.
//!
//! The store numbers the states that it came back with as eras. Offsets go back with a new era and are given out again, so that an offset
//! means nothing without its era.

mod key_listing;
mod logged_records;
mod topic_position;

pub use key_listing::{KeyForm, KeyListing, ListingStep};
pub use logged_records::LoggedRecords;
pub use topic_position::{ReadStep, StoreEra, TopicPosition};
