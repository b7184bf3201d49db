//! Rating service, which scores answers by a rule for each version.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use ferry_decisions::names::{RequestId, VersionName};
use ferry_decisions::value_type;
use ferry_platform::ratings::{RatingAnswer, RatingRequest};
use parking_lot::Mutex;

/// Text that marks an answer as bad, regardless of the version's rule.
pub const BAD_ANSWER_MARKER: &str = "bad-answer";
/// Maximum number of versions with a rule.
const RULE_LIMIT: usize = 10_000;

value_type! {
    /// How answers of one version are scored; equal rating requests always get the same score.
    #[serde(default)]
    pub struct RatingRule {
        /// Score of a good answer, from 0 to 1.
        pub score: f64,
        /// Score of a bad answer, from 0 to 1.
        pub bad_score: f64,
        /// Fraction of the requests whose answers are bad, from 0 to 1. A request whose answer is
        /// bad at one fraction is also bad at any greater fraction, on every version.
        pub bad_fraction: f64,
        /// If set, `bad_fraction` applies only to answers to prompts that contain this text.
        pub bad_prompt: Option<String>,
    }
}

impl Default for RatingRule {
    fn default() -> Self {
        Self {
            score: 0.9,
            bad_score: 0.1,
            bad_fraction: 0.0,
            bad_prompt: None,
        }
    }
}

impl RatingRule {
    /// Whether all numbers are between 0 and 1.
    pub(super) fn is_valid(&self) -> bool {
        [self.score, self.bad_score, self.bad_fraction]
            .iter()
            .all(|number| (0.0..=1.0).contains(number))
    }

    fn is_bad(&self, request: &RatingRequest) -> bool {
        let is_eligible = self
            .bad_prompt
            .as_ref()
            .is_none_or(|text| request.prompt.contains(text.as_str()));
        request.answer.contains(BAD_ANSWER_MARKER)
            || (is_eligible && difficulty(&request.request_id) < self.bad_fraction)
    }
}

/// Rating rules by version; versions without a rule use the default.
#[derive(Debug, Default)]
pub(super) struct RatingService {
    rules: Mutex<BTreeMap<VersionName, RatingRule>>,
}

impl RatingService {
    /// Sets the rule of a version; returns false when the limit of rules is reached.
    pub(super) fn set(&self, version: VersionName, rule: RatingRule) -> bool {
        let mut rules = self.rules.lock();
        let has_room = rules.len() < RULE_LIMIT || rules.contains_key(&version);
        if has_room {
            rules.insert(version, rule);
        }
        has_room
    }

    /// Scores an answer by the rule of its version.
    pub(super) fn rate(&self, request: &RatingRequest) -> RatingAnswer {
        let rule = self
            .rules
            .lock()
            .get(&request.version)
            .cloned()
            .unwrap_or_default();
        let score = if rule.is_bad(request) {
            rule.bad_score
        } else {
            rule.score
        };
        RatingAnswer { score }
    }
}

/// Number from 0 to 1 that depends only on the request id.
fn difficulty(id: &RequestId) -> f64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}
