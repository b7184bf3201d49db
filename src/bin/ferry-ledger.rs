//! Entry point of `ferry-ledger`.

fn main() -> std::process::ExitCode {
    ferry_operator::ledger_app::main()
}
