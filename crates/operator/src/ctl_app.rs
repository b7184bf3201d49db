//! The program `ferryctl`: reads and changes the configuration of a fleet.
//!
//! Exit codes: 0 success; 1 the platform or the routers did not answer; 2 invalid input, nothing
//! was changed; 3 conflict, somebody else changed the object first and nothing was changed; 4 the
//! change is published but not yet in force everywhere.

mod apply_command;
mod check_command;
mod explain_command;
mod explain_logs;
mod flags;
mod get_command;
mod relays_command;
mod status_command;
mod table;
mod watch_command;
mod where_command;

use std::io::Read;
use std::path::Path;
use std::process::ExitCode;

use ferry_decisions::config::key_digest;
use ferry_kernel::settings::{self, SettingsError};
use miette::{Diagnostic, Report};

use self::flags::{Ferryctl, FerryctlCmd};
use crate::fleet::{FleetClient, OperatorSettings};
use crate::publish::PublishError;

/// Exit code when the platform or the routers do not answer.
const FAILED_EXIT: u8 = 1;
/// Exit code when the input is invalid.
const BAD_INPUT_EXIT: u8 = 2;
/// Settings file that is read when `--settings` is absent.
const DEFAULT_SETTINGS: &str = "ferryctl.yaml";

/// Error that ends a command.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum CtlError {
    /// A settings or configuration file cannot be read or is malformed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    File(#[from] SettingsError),
    /// A change was not published or not accepted.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Publish(#[from] PublishError),
    /// The command line, a named log file or standard input is invalid.
    #[error("{0}")]
    BadInput(String),
    /// The platform or the routers did not answer, or have no information about the request.
    #[error("{0}")]
    NoAnswer(String),
}

impl CtlError {
    fn exit_code(&self) -> u8 {
        match self {
            Self::File(_) | Self::BadInput(_) => BAD_INPUT_EXIT,
            Self::Publish(error) => error.exit_code(),
            Self::NoAnswer(_) => FAILED_EXIT,
        }
    }
}

/// Runs the program with the process's arguments.
pub fn main() -> ExitCode {
    let flags = Ferryctl::from_env_or_exit();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!(
                "cannot start the async runtime: {error}; check the process limits of this user"
            );
            return ExitCode::from(FAILED_EXIT);
        }
    };
    match runtime.block_on(run(flags)) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            let code = error.exit_code();
            eprintln!("{:?}", Report::new(error));
            ExitCode::from(code)
        }
    }
}

async fn run(flags: Ferryctl) -> Result<u8, CtlError> {
    let json = flags.json;
    let settings = flags.settings.as_deref();
    match flags.subcommand {
        FerryctlCmd::Check(command) => check_command::run(&command.file),
        FerryctlCmd::Digest(_) => print_digest(),
        FerryctlCmd::Apply(command) => {
            apply_command::apply(&fleet(settings)?, &command, json).await
        }
        FerryctlCmd::Delete(command) => {
            apply_command::delete(&fleet(settings)?, &command, json).await
        }
        FerryctlCmd::Withdraw(command) => {
            apply_command::withdraw(&fleet(settings)?, &command.version, json).await
        }
        FerryctlCmd::Retire(command) => {
            apply_command::retire(&fleet(settings)?, &command.version, json).await
        }
        FerryctlCmd::Get(command) => get_command::run(&fleet(settings)?, &command, json).await,
        FerryctlCmd::Status(_) => status_command::run(&fleet(settings)?, json).await,
        FerryctlCmd::Relays(command) => relays_command::run(&command.addresses, json).await,
        FerryctlCmd::Where(command) => where_command::run(command, json).await,
        FerryctlCmd::Explain(command) if command.stdin || !command.logs.is_empty() => {
            explain_logs::run(&command, json)
        }
        FerryctlCmd::Explain(command) => {
            explain_command::run(&fleet(settings)?, &command.request, json).await
        }
        FerryctlCmd::Watch(command) => watch_command::run(&fleet(settings)?, &command).await,
    }
}

fn fleet(path: Option<&Path>) -> Result<FleetClient, CtlError> {
    let path = path.unwrap_or_else(|| Path::new(DEFAULT_SETTINGS));
    let settings: OperatorSettings = settings::read_file(path)?;
    Ok(FleetClient::new(settings))
}

/// Reads a key from standard input and prints its digest.
fn print_digest() -> Result<u8, CtlError> {
    let mut key = String::new();
    std::io::stdin().read_to_string(&mut key).map_err(|error| {
        CtlError::BadInput(format!(
            "the key cannot be read from standard input: {error}"
        ))
    })?;
    let key = key.trim();
    if key.is_empty() {
        return Err(CtlError::BadInput(
            "standard input is empty; pipe the key into it".to_owned(),
        ));
    }
    println!("{}", key_digest(key));
    Ok(0)
}
