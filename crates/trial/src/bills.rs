//! Bills of the trial, and the answers to compare them with.

mod answer_tally;
mod counted_bills;

pub use answer_tally::AnswerTally;
pub use counted_bills::CountedBills;
