//! Tokens of an answer's text.

use ferry_decisions::names::{RequestId, VersionName};
use ferry_platform::engine::ChatMessage;

use crate::digest::message_digest;
use crate::platform::BAD_ANSWER_MARKER;

/// Prefix of the first token, followed by the digest of the request's messages.
pub const DIGEST_PREFIX: &str = "digest=";
/// Prefix of the second token, followed by the version.
pub const VERSION_PREFIX: &str = "version=";
/// Prefix of the third token, followed by the request id.
pub const REQUEST_PREFIX: &str = "request=";
/// Number of digest characters with which each later token starts.
const SHORT_DIGEST_LENGTH: usize = 4;

/// The `count` tokens of the answer to `messages`; the answer's text is their concatenation.
///
/// Every token except the first starts with a space. The fourth token of a bad answer is the
/// marker.
pub(super) fn answer_tokens(
    messages: &[ChatMessage],
    version: &VersionName,
    id: &RequestId,
    bad: bool,
    count: u32,
) -> Vec<String> {
    let digest = message_digest(messages);
    let token = |index: u32| match index {
        0 => format!("{DIGEST_PREFIX}{digest}"),
        1 => format!(" {VERSION_PREFIX}{version}"),
        2 => format!(" {REQUEST_PREFIX}{id}"),
        3 if bad => format!(" {BAD_ANSWER_MARKER}"),
        _ => format!(" {}-{index}", &digest[..SHORT_DIGEST_LENGTH]),
    };
    (0..count).map(token).collect()
}
