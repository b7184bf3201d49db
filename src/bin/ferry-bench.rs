//! Entry point of `ferry-bench`.

fn main() {
    ferry_bench::app::main()
}
