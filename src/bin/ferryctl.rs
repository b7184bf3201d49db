//! Entry point of `ferryctl`, the operators' tool that reads and changes a fleet's configuration.

fn main() -> std::process::ExitCode {
    ferry_operator::ctl_app::main()
}
