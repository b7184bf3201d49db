//! Bills of the trial, and what callers got.

mod answer_tally;
mod bill_sheet;

pub use answer_tally::AnswerTally;
pub use bill_sheet::BillSheet;
