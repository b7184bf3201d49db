//! Entry point of `ferry-standin`.

fn main() -> miette::Result<()> {
    ferry_standin::app::main()
}
