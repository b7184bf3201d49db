//! One relay process of the soak, with the proxy between it and the store.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ferry_rig::{LinkProxy, RelayFixture, RelayProcess};
use tokio::time::sleep;

/// Environment variable with the path of the relay program, if it is to be of another build.
const PROGRAM_VARIABLE: &str = "FERRY_SOAK_PROGRAM";
/// Environment variable that keeps the logs of all runs.
const KEEP_VARIABLE: &str = "FERRY_SOAK_KEEP_LOGS";
/// Signal for a graceful stop.
pub const SIGTERM: i32 = 15;
/// Signal that reloads the settings.
pub const SIGHUP: i32 = 1;
/// Signal that suspends a process.
const SIGSTOP: i32 = 19;
/// Signal that resumes a suspended process.
const SIGCONT: i32 = 18;
/// Settings file of the platform's sample host, on which the settings of each relay are based.
const SAMPLE: &str = include_str!("../../platform/tests/samples/host.toml");

/// One relay, with the proxy between it and the store.
pub struct SoakRelay {
    /// Relay process; locked while a fault acts on it.
    pub process: tokio::sync::Mutex<RelayProcess>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Proxy between the relay and the store.
    pub store_link: LinkProxy,
}

impl SoakRelay {
    /// Starts the relay number `number`, with its files in `folder`.
    pub async fn start(number: usize, fixture: &RelayFixture, folder: &Path) -> Self {
        let store_link = LinkProxy::start([127, 0, 0, 1].into()).await.unwrap();
        store_link.set_target(fixture.store.address());
        let program = std::env::var(PROGRAM_VARIABLE);
        let program = program.unwrap_or(env!("CARGO_BIN_EXE_ferry-relay").to_owned());
        let host = format!("edge-{number}");
        let process = RelayProcess::start(
            Path::new(&program),
            folder,
            SAMPLE,
            &host,
            store_link.address,
        );
        let process = process.unwrap();
        Self {
            callers: process.callers(),
            process: tokio::sync::Mutex::new(process),
            store_link,
        }
    }

    /// Suspends the relay for `duration`.
    pub async fn freeze(&self, duration: Duration) {
        let mut process = self.process.lock().await;
        process.signal(SIGSTOP);
        sleep(duration).await;
        process.signal(SIGCONT);
    }

    /// Cuts the relay's connections to the store for `duration`.
    pub async fn cut_store(&self, duration: Duration) {
        cut(&self.store_link, duration).await;
    }

    /// Stops the relay gracefully, then restarts it.
    pub async fn stop(&self) {
        let mut process = self.process.lock().await;
        process.wait_until_handled(SIGTERM).await;
        process.signal(SIGTERM);
        let code = process.wait().await;
        assert_eq!(code, Some(0), "a graceful stop ends with 0");
        process.restart().unwrap();
    }
}

/// Cuts the connections of `link` for `duration`.
pub async fn cut(link: &LinkProxy, duration: Duration) {
    link.cut();
    sleep(duration).await;
    link.heal();
}

/// Lets the connections of `link` transfer no data for `duration`.
pub async fn stall(link: &LinkProxy, duration: Duration) {
    link.stall();
    sleep(duration).await;
    link.heal();
}

/// Whether the logs of all runs are kept, not only of those that violate a guarantee.
pub fn keeps_all_logs() -> bool {
    std::env::var_os(KEEP_VARIABLE).is_some()
}

/// Copies the logs in `folder` to the temporary folder, under `name`.
pub fn keep_logs(name: &str, folder: &Path) {
    let kept = std::env::temp_dir().join(format!("ferry-soak-{name}"));
    let _ = std::fs::create_dir_all(&kept);
    for entry in std::fs::read_dir(folder).into_iter().flatten().flatten() {
        let _ = std::fs::copy(entry.path(), kept.join(entry.file_name()));
    }
    println!("{name}: logs in {}", kept.display());
}
