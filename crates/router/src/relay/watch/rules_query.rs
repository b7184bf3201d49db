//! Questions between routers about the rules in force, and about upstreams that left.

use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::evacuation::{KeptEvacuation, RecentEvacuation};
use ferry_decisions::names::HostName;
use ferry_decisions::registry::LeftUpstream;
use serde::{Deserialize, Serialize};

use crate::peer::{PeerError, PeerMessage, PeerTopic};
use crate::relay::evacuation::state_recent;
use crate::relay::fleet::{read_body, write_body};
use crate::relay::relay_core::{RelayCore, SharedCore};

/// Timeout of a question; an answer with rules may be large.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of upstreams that left in one answer.
const MAX_LEFT: usize = 1_000;

/// A question about what another router knows.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(super) struct RulesQuery {
    /// Whether the answer is to contain the rules.
    wants_rules: bool,
    /// Whether they may be compressed; false from routers of an older build.
    takes_compressed: bool,
    /// Revision in force at the router that asks; absent before rules are in force, and from routers of an older build.
    revision: Option<u64>,
}

/// Answer to it; empty from a router that knows nothing.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(super) struct RulesAnswer {
    /// Revision in force; absent before rules are in force.
    pub revision: Option<u64>,
    /// Whether the rules in force are confirmed; false from routers of an older build, of which that is not known.
    pub is_in_touch: bool,
    /// Value of the operator's record, if it was wanted and must not be compressed.
    pub rules: Option<Bytes>,
    /// The same, compressed.
    pub compressed: Option<Bytes>,
    /// Upstreams that left; none in an answer with rules.
    pub left: Vec<LeftUpstream>,
    /// Evacuations that are kept although the store's present era lacks their records; none in an answer with rules.
    pub kept_evacuations: Vec<KeptEvacuation>,
    /// Evacuations that are in force or ended so recently that upstreams may be cold; none in an answer with rules.
    pub recent_evacuations: Vec<RecentEvacuation>,
    /// Whether the answer states them; false from routers of an older build, and in an answer with rules.
    pub states_recent: bool,
}

impl RulesQuery {
    /// A question about facts that only go one way.
    pub(super) fn facts(core: &RelayCore) -> Self {
        Self {
            wants_rules: false,
            takes_compressed: true,
            revision: core.revision_in_force(),
        }
    }

    /// A question for the rules in force.
    pub(super) fn rules(core: &RelayCore) -> Self {
        Self {
            wants_rules: true,
            ..Self::facts(core)
        }
    }
}

/// Answers the question of another router.
pub fn answer_query(core: &RelayCore, message: &PeerMessage) -> Option<Bytes> {
    let query: RulesQuery = read_body(message, "question about the rules in force")?;
    core.operator_topic.hear(&message.from, query.revision);
    let mut answer = RulesAnswer {
        revision: core.revision_in_force(),
        is_in_touch: core.is_in_touch(),
        ..RulesAnswer::default()
    };
    if query.wants_rules {
        let mut record = core.rules_record.lock();
        let compressed = query.takes_compressed.then(|| record.compressed());
        answer.compressed = compressed.flatten();
        if answer.compressed.is_none() {
            answer.rules = Some(record.value());
        }
    } else {
        answer.left = core.registry.lock().left(core.clock.now());
        answer.left.truncate(MAX_LEFT);
        answer.kept_evacuations = core.evacuations.all_kept(core.clock.now());
        let recent = state_recent(core);
        answer.recent_evacuations = recent.evacuations;
        answer.states_recent = recent.is_stated;
    }
    write_body(&answer, "an answer to a router")
}

/// Asks `host`; `None` without an answer.
pub(super) async fn ask(
    core: &SharedCore,
    host: &HostName,
    query: RulesQuery,
) -> Option<RulesAnswer> {
    let hub = core.fleet.hub()?;
    let answer = hub.send_query(host, PeerTopic::Config, &query, QUERY_TIMEOUT);
    match answer.await {
        Ok(answer) => Some(answer),
        // A router of a build that knows no such question: there is nothing to wait for.
        Err(PeerError::Unanswered(_)) => Some(RulesAnswer::default()),
        Err(error) => {
            spdlog::info!("a router did not tell which rules it has in force: {}", error, kv: { router = host.as_str() });
            None
        }
    }
}
