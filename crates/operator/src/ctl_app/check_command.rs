//! `ferryctl check`: validates a configuration file without contacting the fleet.

use std::path::Path;

use super::CtlError;
use crate::config_file::ConfigFile;
use crate::publish::ChangeDraft;

/// Validates the file at `path` as if it were the first configuration of a fleet.
pub fn run(path: &Path) -> Result<u8, CtlError> {
    let file = ConfigFile::read(path)?;
    let mut draft = ChangeDraft::new(None);
    for (key, spec) in file.objects() {
        draft.set(key, spec);
    }
    let change = draft.finish("check")?;
    println!(
        "{}: {} objects are valid",
        path.display(),
        change.changes.len()
    );
    Ok(0)
}
