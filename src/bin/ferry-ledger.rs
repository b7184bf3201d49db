//! Entry point of `ferry-ledger`.

fn main() {}
