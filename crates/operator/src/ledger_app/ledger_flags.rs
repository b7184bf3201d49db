//! Command line of `ferry-ledger`.

xflags::xflags! {
    /// Folds the billing streams to totals of each workspace and lists anomalies.
    cmd ledger-flags {
        /// Address of the platform's log service, http://IP:PORT.
        required --platform url: String
        /// Prints JSON instead of a table; equal records give equal bytes.
        optional --json
        /// Writes checkpoints, so that the bills read may expire.
        optional --checkpoint
    }
}
