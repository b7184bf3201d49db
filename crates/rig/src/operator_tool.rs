//! Runs `ferryctl` against the fleet.

use std::path::PathBuf;

use tokio::process::Command;

use crate::fleet::{ADMIN_TOKEN, FleetRig};
use crate::process::RigError;

/// Output of one `ferryctl` run.
#[derive(Debug, Clone)]
pub struct ToolOutput {
    /// Exit code; `None` when a signal ended the process.
    pub code: Option<i32>,
    /// Standard output.
    pub out: String,
    /// Standard error.
    pub errors: String,
}

impl FleetRig {
    /// Runs `ferryctl` with `arguments` and with settings that list every router.
    ///
    /// # Errors
    ///
    /// Fails when the program does not start.
    pub async fn ctl(&self, arguments: &[&str]) -> Result<ToolOutput, RigError> {
        let settings = self.write_operator_settings()?;
        let output = Command::new(&self.programs.ctl)
            .arg("--settings")
            .arg(settings)
            .args(arguments)
            .output()
            .await?;
        Ok(ToolOutput {
            code: output.status.code(),
            out: String::from_utf8_lossy(&output.stdout).into_owned(),
            errors: String::from_utf8_lossy(&output.stderr).into_owned(),
        })
    }

    /// Writes `text` to the file `name` in the rig's temporary folder, and returns its path.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn write_file(&self, name: &str, text: &str) -> Result<PathBuf, RigError> {
        let file = self.folder.path().join(name);
        std::fs::write(&file, text)?;
        Ok(file)
    }

    fn write_operator_settings(&self) -> Result<PathBuf, RigError> {
        let platform = self.platform_url();
        let mut text = format!(
            "operator: rig\nplatform_url: {platform}\nadmin_token: {ADMIN_TOKEN}\nrouters:\n"
        );
        for node in &self.routers {
            let address = node.process.address("admin");
            text.push_str(&format!("  {}: {address}\n", node.host));
        }
        self.write_file("ferryctl.yaml", &text)
    }
}
