//! Flags of `ferry-trial`.

#![allow(
    missing_docs,
    reason = "the macro generates items without documentation"
)]

xflags::xflags! {
    /// Runs a tour of a complete deployment on loopback addresses; exits with 0 if every step passed.
    cmd ferry-trial {
        /// Keep the deployment running after the tour until Ctrl-C.
        optional --keep
    }
}
