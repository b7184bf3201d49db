//! Settings files in YAML: unknown keys are rejected, and errors point at the line.

mod settings_error;

pub use settings_error::SettingsError;

use std::path::Path;

use serde::de::DeserializeOwned;

/// Exit code of a daemon whose settings are invalid.
pub const BAD_SETTINGS_EXIT: i32 = 2;

/// Reads the YAML file at `path`.
///
/// # Errors
///
/// Fails when the file cannot be read or is not a valid `T`.
pub fn read_file<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| SettingsError::unreadable(path, &error))?;
    parse(&path.display().to_string(), &text)
}

/// Parses `text`, the content of the file `name`.
///
/// # Errors
///
/// Fails when the text is not a valid `T`.
pub fn parse<T: DeserializeOwned>(name: &str, text: &str) -> Result<T, SettingsError> {
    serde_saphyr::from_str(text).map_err(|error| SettingsError::malformed(name, text, &error))
}
