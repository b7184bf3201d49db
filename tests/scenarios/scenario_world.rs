//! State of one scenario.

use std::collections::HashMap;

use cucumber::{World, given};
use ferry_rig::{ChatResult, FleetRig};
use tokio::task::JoinHandle;

use crate::caller_load::CallerLoad;
use crate::sample;

/// Result of a call of the letter service: its status, and the run state when it was refused.
pub type LetterResult = Result<(u16, Option<String>), String>;

/// State of one scenario.
#[derive(Debug, Default, World)]
pub struct ScenarioWorld {
    rig: Option<FleetRig>,
    /// Result of the last chat completion; a step that checks it takes it out.
    pub last: Option<ChatResult>,
    /// Versions that answered the requests of the session, in order.
    pub session_versions: Vec<String>,
    /// Number of requests that the leaving engine had received when all routers knew that it was leaving.
    pub received_before: u64,
    /// Token of the session that was started.
    pub session: Option<String>,
    /// Load in progress.
    pub load: Option<CallerLoad>,
    /// Request ids of letters, by the name of the letter in the scenario.
    pub letter_ids: HashMap<String, String>,
    /// Tasks of letters in progress, by the name of the letter in the scenario.
    pub letters_in_progress: HashMap<String, JoinHandle<LetterResult>>,
    /// Result of the last letter; a step that checks it takes it out.
    pub last_letter: Option<LetterResult>,
    /// Request ids of chat completions with a complete answer.
    pub answered: Vec<String>,
}

impl ScenarioWorld {
    /// Returns the fleet of the scenario.
    pub fn rig(&self) -> &FleetRig {
        self.rig.as_ref().expect("the scenario starts with a fleet")
    }

    /// Returns the fleet of the scenario for changes.
    pub fn rig_mut(&mut self) -> &mut FleetRig {
        self.rig.as_mut().expect("the scenario starts with a fleet")
    }

    /// Address for callers of router `number`; scenarios count routers from 1.
    pub fn callers(&self, number: usize) -> String {
        self.rig().callers(number - 1)
    }
}

#[given(expr = "a fleet of {int} routers")]
async fn fleet(world: &mut ScenarioWorld, routers: usize) {
    world.rig = Some(sample::fleet(routers).await);
}
