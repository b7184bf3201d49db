//! Entry point of `ferry-trial`.

fn main() {}
