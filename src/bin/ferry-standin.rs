//! Entry point of `ferry-standin`.

fn main() {}
