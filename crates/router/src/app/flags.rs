//! Command line of `ferry-router`.

#![allow(
    missing_docs,
    reason = "the macro generates items without documentation"
)]

use std::path::PathBuf;

xflags::xflags! {
    /// Answers callers' requests on allowed versions of the upstreams.
    cmd ferry-router {
        /// Settings file.
        required --settings file: PathBuf
        /// Check the settings file and exit.
        optional --check-settings
    }
}
