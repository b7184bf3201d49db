//! Errors of the ledger.

use ferry_platform::log::LogError;
use miette::Diagnostic;

/// Why the ledger could not be read or its checkpoints could not be written.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum LedgerError {
    /// A stream could not be read to its end, so the totals would be incomplete.
    #[error("stream {stream:?} was not read to its end: {source}")]
    #[diagnostic(help("run the command again once the log service answers; nothing was changed"))]
    Unreadable {
        /// Name of the stream.
        stream: String,
        /// Error of the log client.
        source: LogError,
    },
    /// The log did not confirm a checkpoint.
    #[error("the checkpoint of shard {shard} was not confirmed: {source}")]
    #[diagnostic(help(
        "run the command again with --checkpoint; duplicate checkpoints are harmless"
    ))]
    Unconfirmed {
        /// Shard of the checkpoint.
        shard: u16,
        /// Error of the log client.
        source: LogError,
    },
}
