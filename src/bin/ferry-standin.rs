//! Entry point of `ferry-standin`, which runs an emulator of one external system.

fn main() -> miette::Result<()> {
    ferry_standin::app::main()
}
