//! Entry point of `ferry-trial`.

fn main() -> miette::Result<std::process::ExitCode> {
    ferry_trial::app::main()
}
