//! Entry point of `ferryctl`.

fn main() -> std::process::ExitCode {
    ferry_operator::ctl_app::main()
}
