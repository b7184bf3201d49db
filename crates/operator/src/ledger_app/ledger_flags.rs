//! Command line of `ferry-ledger`.

xflags::xflags! {
    /// Folds the bill streams into totals of each workspace and lists anomalies.
    cmd ledger-flags {
        /// Address of the platform's log service, http://IP:PORT.
        required --platform url: String
        /// Prints JSON instead of a table; the same records give the same bytes.
        optional --json
        /// Writes checkpoints, so that the bills that were read may expire from the log.
        optional --checkpoint
    }
}
