//! Settings file of a router.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ferry_decisions::names::{HostName, ZoneName};
use ferry_decisions::session::SigningKey;
use ferry_kernel::logs::LogLevel;
use ferry_kernel::settings::{self, SettingsError};
use serde::Deserialize;

/// Minimum length of a secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Contents of the settings file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// Name of this host in the platform's host list.
    pub host: HostName,
    /// Availability zone of this host.
    pub zone: ZoneName,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Access to the platform.
    pub platform: PlatformSettings,
    /// Secrets shared by the fleet.
    pub secrets: SecretSettings,
    /// Limits on requests.
    #[serde(default)]
    pub limits: RequestLimits,
    /// Maximum age of a fresh configuration, in milliseconds.
    #[serde(default = "default_freshness_ms")]
    pub freshness_ms: u64,
    /// Behaviour when the daemon stops.
    #[serde(default)]
    pub stop: StopSettings,
    /// Least severe log level that is written.
    #[serde(default)]
    pub log_level: LogLevel,
}

/// Addresses that a router listens on; all three must differ, except that port 0 may repeat.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for other routers.
    pub peers: SocketAddr,
}

/// Access to the platform.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Base URL of the log, the host list and the rating service, `http://IP:PORT`.
    pub url: String,
    /// Timeout of one call, in milliseconds.
    #[serde(default = "default_call_timeout_ms")]
    pub timeout_ms: u64,
    /// Maximum rate of appends to the log by all routers together, per second.
    #[serde(default = "default_append_budget")]
    pub appends_per_second: u32,
    /// Minimum retention of a log record, in milliseconds. A value above the actual retention of the
    /// log would let a request run twice.
    #[serde(default = "default_retention_ms")]
    pub retention_ms: u64,
}

/// Secrets shared by the fleet.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SecretSettings {
    /// Shared secret that authenticates routers to each other.
    pub peers: String,
    /// Bearer token required by the admin port.
    pub admin_token: String,
    /// Keys of session tokens: the first signs, all verify.
    pub session_keys: Vec<SigningKey>,
}

/// Limits on requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestLimits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum size of an answer that is buffered completely, in bytes.
    pub answer_bytes: usize,
    /// Memory that the process may take, in MiB; bodies of requests take a share of it.
    pub memory_mib: usize,
    /// Maximum number of requests in progress.
    pub in_progress: usize,
    /// Deadline of a request that sets none, in milliseconds.
    pub default_deadline_ms: u64,
    /// Maximum deadline that a request may set, in milliseconds.
    pub longest_deadline_ms: u64,
}

/// Behaviour when the daemon stops.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StopSettings {
    /// Time for which requests are still accepted after a stop was announced, in milliseconds.
    pub balancer_lag_ms: u64,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            body_bytes: 4 * 1024 * 1024,
            answer_bytes: 16 * 1024 * 1024,
            memory_mib: 256,
            in_progress: 10_000,
            default_deadline_ms: 60_000,
            longest_deadline_ms: 600_000,
        }
    }
}

impl Default for StopSettings {
    fn default() -> Self {
        Self {
            balancer_lag_ms: 2_000,
        }
    }
}

fn default_freshness_ms() -> u64 {
    3_000
}

fn default_call_timeout_ms() -> u64 {
    1_000
}

fn default_retention_ms() -> u64 {
    3_600_000
}

fn default_append_budget() -> u32 {
    200
}

/// Setting with a valid format but an unusable value.
struct SettingsProblem {
    key: &'static str,
    problem: String,
    remedy: &'static str,
}

impl RouterSettings {
    /// Reads and validates the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or a value is invalid, with a diagnostic that points at the
    /// line and names the remedy.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text =
            std::fs::read_to_string(path).map_err(|e| SettingsError::unreadable(path, &e))?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Parses and validates `text`, the contents of the file `name`.
    ///
    /// # Errors
    ///
    /// Fails when a value is invalid, as [`RouterSettings::read`] does.
    pub fn parse(name: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = settings::parse(name, text)?;
        match settings.problem() {
            None => Ok(settings),
            Some(found) => Err(SettingsError::rejected(
                name,
                text,
                found.key,
                &found.problem,
                found.remedy,
            )),
        }
    }

    /// Timeout of one call to the platform.
    pub fn call_timeout(&self) -> Duration {
        Duration::from_millis(self.platform.timeout_ms)
    }

    /// Maximum age of a fresh configuration.
    pub fn freshness(&self) -> Duration {
        Duration::from_millis(self.freshness_ms)
    }

    fn problem(&self) -> Option<SettingsProblem> {
        self.address_problem()
            .or_else(|| self.secret_problem())
            .or_else(|| self.limit_problem())
    }

    fn address_problem(&self) -> Option<SettingsProblem> {
        let ListenSettings {
            callers,
            admin,
            peers,
        } = &self.listen;
        let conflict = |a: &SocketAddr, b: &SocketAddr| a == b && a.port() != 0;
        if conflict(callers, admin) {
            return Some(port_conflict("admin", admin));
        }
        if conflict(callers, peers) || conflict(admin, peers) {
            return Some(port_conflict("peers", peers));
        }
        let is_http = self.platform.url.starts_with("http://");
        (!is_http).then(|| SettingsProblem {
            key: "url",
            problem: format!(
                "platform.url {:?} is not an http address",
                self.platform.url
            ),
            remedy: "write http://IP:PORT",
        })
    }

    fn secret_problem(&self) -> Option<SettingsProblem> {
        let is_too_short = |secret: &str| secret.len() < MIN_SECRET_BYTES;
        let secrets = &self.secrets;
        let key = if is_too_short(&secrets.peers) {
            "peers"
        } else if is_too_short(&secrets.admin_token) {
            "admin_token"
        } else if secrets.session_keys.is_empty()
            || secrets
                .session_keys
                .iter()
                .any(|key| is_too_short(&key.secret))
        {
            "session_keys"
        } else {
            return None;
        };
        Some(SettingsProblem {
            key: if key == "peers" { "secrets" } else { key },
            problem: format!("secrets.{key} is missing or too short"),
            remedy: "write a random secret of 16 bytes or more",
        })
    }

    fn limit_problem(&self) -> Option<SettingsProblem> {
        let limits = &self.limits;
        let zero_problem = |key, value: u64| {
            (value == 0).then(|| SettingsProblem {
                key,
                problem: format!("{key} is 0"),
                remedy: "write a number above 0",
            })
        };
        zero_problem("body_bytes", limits.body_bytes as u64)
            .or_else(|| zero_problem("answer_bytes", limits.answer_bytes as u64))
            .or_else(|| zero_problem("memory_mib", limits.memory_mib as u64))
            .or_else(|| zero_problem("in_progress", limits.in_progress as u64))
            .or_else(|| zero_problem("default_deadline_ms", limits.default_deadline_ms))
            .or_else(|| zero_problem("freshness_ms", self.freshness_ms))
            .or_else(|| zero_problem("timeout_ms", self.platform.timeout_ms))
            .or_else(|| {
                zero_problem(
                    "appends_per_second",
                    self.platform.appends_per_second.into(),
                )
            })
            .or_else(|| self.deadline_problem())
    }

    fn deadline_problem(&self) -> Option<SettingsProblem> {
        let limits = &self.limits;
        (limits.longest_deadline_ms < limits.default_deadline_ms).then(|| SettingsProblem {
            key: "longest_deadline_ms",
            problem: "longest_deadline_ms is below default_deadline_ms".to_owned(),
            remedy: "raise longest_deadline_ms or lower default_deadline_ms",
        })
    }
}

fn port_conflict(key: &'static str, address: &SocketAddr) -> SettingsProblem {
    SettingsProblem {
        key,
        problem: format!("{address} is used for two ports"),
        remedy: "give callers, admin and peers a port each",
    }
}
