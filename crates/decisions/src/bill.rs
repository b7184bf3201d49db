//! Bills: exactly one counts for each answered request.
//!
//! The first bill of a request in log order counts. Later copies, from a batch that was appended
//! again or from a peer that flushed its copy, change no total.

mod append_budget;
mod bill_fold;
mod bill_record;
mod ledger_checkpoint;
mod ledger_report;
mod token_price;

pub use append_budget::{AppendBudget, append_rate};
pub use bill_fold::{BILL_WINDOW_MS, BillAnomaly, BillDecision, BillFold, BillStep};
pub use bill_record::{BillBatch, BillEntry, BillOutcome, bill_stream};
pub use ledger_checkpoint::{LEDGER_STREAM, LedgerCheckpoint, RememberedBill};
pub use ledger_report::{AnomalyCounts, LedgerReport, WorkspaceTotal};
pub use token_price::TokenPrice;
