//! Entry point of `ferry-bench`.

fn main() {}
