//! Entry point of `ferry-trial`, a complete deployment in one process with a guided tour of its features.

fn main() -> miette::Result<std::process::ExitCode> {
    ferry_trial::app::main()
}
