//! Entry point of `ferryctl`.

fn main() {}
