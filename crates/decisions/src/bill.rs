//! Bills: exactly one for each answered request.

mod bill_record;

pub use bill_record::{BillBatch, BillEntry, BillOutcome};
