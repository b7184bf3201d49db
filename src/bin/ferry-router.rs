//! Entry point of `ferry-router`.

fn main() {}
