//! Command line of `ferry-relay`.

#![allow(
    missing_docs,
    reason = "the macro generates items without documentation"
)]

use std::path::PathBuf;

xflags::xflags! {
    /// Answers callers' requests on a host of the users' platform.
    cmd ferry-relay {
        /// Settings file of the host; by default the one that the environment variable names.
        optional --settings file: PathBuf
        /// Check the settings file and exit.
        optional --check-settings
        /// Port of the metrics at the host's address.
        optional --metrics-port port: u16
        /// Least severe level that is logged: debug, info, warn or error.
        optional --log-level level: String
    }
}
