//! Flags of `ferry-trial`.

#![allow(
    missing_docs,
    reason = "the macro generates items without documentation"
)]

xflags::xflags! {
    /// Plays a tour of a whole deployment on loopback addresses; exits with 0 if every step held.
    cmd ferry-trial {
        /// Leave the deployment up after the tour until Ctrl-C.
        optional --keep
    }
}
