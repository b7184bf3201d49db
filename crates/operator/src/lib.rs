//! Tools for operators (`ferryctl`) and billing staff (`ferry-ledger`).

pub mod config_file;
pub mod ctl_app;
pub mod fleet;
pub mod ledger;
pub mod ledger_app;
pub mod publish;
pub mod timeline;
