//! The billing ledger: folds all bill streams into totals and anomalies.

mod ledger_error;
mod ledger_reader;
mod ledger_table;

pub use ledger_error::LedgerError;
pub use ledger_reader::LedgerReader;
pub use ledger_table::render_table;
