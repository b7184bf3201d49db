//! Errors of the ledger.

use ferry_platform::log::LogError;
use miette::Diagnostic;

/// Why the ledger could not be made.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum LedgerError {
    /// A stream could not be read, so that totals would be incomplete.
    #[error("stream {stream:?} was not read to its end: {source}")]
    #[diagnostic(help("run the command again once the log service answers; nothing was changed"))]
    Unreadable {
        /// Name of the stream.
        stream: String,
        /// What the log client says.
        source: LogError,
    },
    /// A checkpoint was not confirmed.
    #[error("the checkpoint of shard {shard} was not confirmed: {source}")]
    #[diagnostic(help(
        "run the command again with --checkpoint; checkpoints written twice do no harm"
    ))]
    Unwritten {
        /// Shard of the checkpoint.
        shard: u16,
        /// What the log client says.
        source: LogError,
    },
}
