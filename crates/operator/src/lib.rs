//! Tools of operators and billing clerks.

pub mod ledger;
pub mod ledger_app;
