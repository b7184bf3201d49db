//! Scores of answers by a rule for each version.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use ferry_decisions::names::{RequestId, VersionName};
use ferry_decisions::value_type;
use ferry_platform::ratings::{RatingAnswer, RatingRequest};
use parking_lot::Mutex;

/// Text that marks an answer as bad, whatever the rule says.
pub const BAD_ANSWER_MARKER: &str = "bad-answer";
/// Versions that may have a rule.
const RULE_LIMIT: usize = 10_000;

value_type! {
    /// How answers of one version are scored; the same request always gets the same score.
    #[serde(default)]
    pub struct RatingRule {
        /// Score of a good answer, from 0 to 1.
        pub score: f64,
        /// Score of a bad answer, from 0 to 1.
        pub bad_score: f64,
        /// Fraction of the requests whose answers are bad, from 0 to 1. A request whose answer is bad
        /// at some fraction is bad at any greater one, on every version.
        pub bad_fraction: f64,
        /// Only answers to prompts with this text can be bad by `bad_fraction`.
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
    /// Whether all numbers are from 0 to 1.
    pub(super) fn is_valid(&self) -> bool {
        [self.score, self.bad_score, self.bad_fraction]
            .iter()
            .all(|number| (0.0..=1.0).contains(number))
    }

    fn is_bad(&self, request: &RatingRequest) -> bool {
        let eligible = self
            .bad_prompt
            .as_ref()
            .is_none_or(|text| request.prompt.contains(text.as_str()));
        request.answer.contains(BAD_ANSWER_MARKER)
            || (eligible && difficulty(&request.request_id) < self.bad_fraction)
    }
}

/// Rules of all versions.
#[derive(Debug, Default)]
pub(super) struct RatingDesk {
    rules: Mutex<BTreeMap<VersionName, RatingRule>>,
}

impl RatingDesk {
    /// Sets the rule of a version; false when there is no room for another one.
    pub(super) fn set(&self, version: VersionName, rule: RatingRule) -> bool {
        let mut rules = self.rules.lock();
        let room = rules.len() < RULE_LIMIT || rules.contains_key(&version);
        if room {
            rules.insert(version, rule);
        }
        room
    }

    /// Scores an answer.
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

/// Number from 0 to 1 that depends on the request alone.
fn difficulty(id: &RequestId) -> f64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}
