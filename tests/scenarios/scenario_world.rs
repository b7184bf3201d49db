//! State of one scenario.

use std::collections::HashMap;

use cucumber::{World, given};
use ferry_rig::{ChatResult, FleetRig};
use tokio::task::JoinHandle;

use crate::caller_load::CallerLoad;
use crate::sample;

/// What a call of the letter service gave: its status and the run state of a refusal.
pub type LetterResult = Result<(u16, Option<String>), String>;

/// State of one scenario.
#[derive(Debug, Default, World)]
pub struct ScenarioWorld {
    rig: Option<FleetRig>,
    /// Last chat completion.
    pub last: Option<ChatResult>,
    /// Versions that answered the requests of the session, in order.
    pub session_versions: Vec<String>,
    /// Requests that the leaving engine had been handed when all routers knew.
    pub handed_before: u64,
    /// Token of the session that was started.
    pub session: Option<String>,
    /// Load in progress.
    pub load: Option<CallerLoad>,
    /// Identifiers of letters by the scenario's name for them.
    pub letter_ids: HashMap<String, String>,
    /// Letters in progress by the scenario's name for them.
    pub letters_sent: HashMap<String, JoinHandle<LetterResult>>,
    /// Last letter.
    pub last_letter: Option<LetterResult>,
    /// Identifiers of chat completions that were answered whole.
    pub answered: Vec<String>,
}

impl ScenarioWorld {
    /// The fleet of the scenario.
    pub fn rig(&self) -> &FleetRig {
        self.rig.as_ref().expect("the scenario starts with a fleet")
    }

    /// The fleet of the scenario, to change it.
    pub fn rig_mut(&mut self) -> &mut FleetRig {
        self.rig.as_mut().expect("the scenario starts with a fleet")
    }

    /// Address for callers of the router that the scenario calls `number`.
    pub fn callers(&self, number: usize) -> String {
        self.rig().callers(number - 1)
    }
}

#[given(expr = "a fleet of {int} routers")]
async fn fleet(world: &mut ScenarioWorld, routers: usize) {
    world.rig = Some(sample::fleet(routers).await);
}
