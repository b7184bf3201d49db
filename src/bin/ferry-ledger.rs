//! Entry point of `ferry-ledger`, which prints the billing totals of each workspace.

fn main() -> std::process::ExitCode {
    ferry_operator::ledger_app::main()
}
