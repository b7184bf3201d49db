//! The program `ferry-trial` as a user runs it: the whole tour, and a trial that keeps running.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use ferry_kernel::http::HttpClient;
use ferry_rig::curl_request;

/// Timeout of a call; reached only when a test fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Headings of the steps of the tour.
const HEADINGS: [&str; 9] = [
    "1. Three routers are up",
    "2. Answers come as streams",
    "3. A cascade asks the small versions first",
    "4. A session keeps its version on every router",
    "5. A withdrawal takes hold on all routers",
    "6. A refusal names its remedy",
    "7. A call that is not idempotent, sent twice, runs once",
    "8. A router is killed while streams run",
    "9. The bills add up",
];
/// Greatest number of lines and columns of the tour's output, so that it fits one screen.
const SCREEN: (usize, usize) = (45, 100);

/// A trial that keeps running after its tour (`--keep`); killed when dropped.
struct KeptTrial(Child);

impl KeptTrial {
    fn start() -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ferry-trial"));
        command.arg("--keep").stdout(Stdio::piped());
        Self(command.spawn().unwrap())
    }

    /// Reads the output up to the line that starts with `last`.
    fn read_until(&mut self, last: &str) -> Vec<String> {
        let mut lines = BufReader::new(self.0.stdout.as_mut().unwrap()).lines();
        let mut seen = Vec::new();
        while let Some(Ok(line)) = lines.next() {
            let found = line.starts_with(last);
            seen.push(line);
            if found {
                return seen;
            }
        }
        panic!("the trial ended before {last:?}: {seen:#?}");
    }

    fn interrupt(&self) {
        let pid = self.0.id().try_into().unwrap();
        // SAFETY: the process is a child that has not been waited for.
        assert_eq!(unsafe { libc::kill(pid, libc::SIGINT) }, 0);
    }
}

impl Drop for KeptTrial {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn every_step_of_the_tour_holds() {
    let mut trial = Command::new(env!("CARGO_BIN_EXE_ferry-trial"));
    let output = trial.output().unwrap();
    let screen = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{screen}");
    for heading in HEADINGS {
        assert!(
            screen.lines().any(|line| line == heading),
            "{heading}\n{screen}"
        );
    }
    assert!(screen.contains("9 of 9 steps held"), "{screen}");
    assert!(!screen.contains("FAILED"), "{screen}");
    let (lines, columns) = SCREEN;
    assert!(screen.lines().count() <= lines, "{screen}");
    assert!(
        screen.lines().all(|line| line.chars().count() <= columns),
        "{screen}"
    );
}

#[tokio::test]
async fn a_kept_trial_answers_the_curl_command_that_it_prints() {
    let mut trial = KeptTrial::start();
    let screen = trial.read_until("Press Ctrl-C");
    let line = screen
        .iter()
        .find(|line| line.starts_with("curl "))
        .unwrap();
    let answer = HttpClient::default()
        .fetch(curl_request(line), CALL_TIMEOUT)
        .await;
    let answer = String::from_utf8(answer.unwrap().to_vec()).unwrap();
    assert!(answer.contains("chat.completion.chunk"), "{answer}");
    assert!(answer.trim_end().ends_with("data: [DONE]"), "{answer}");

    trial.interrupt();
    trial.read_until("Stopping");
    assert_eq!(trial.0.wait().unwrap().code(), Some(0));
}
