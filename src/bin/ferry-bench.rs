//! Entry point of `ferry-bench`, the load and experiment tool.

fn main() {
    ferry_bench::app::main()
}
