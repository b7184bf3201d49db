//! Text of an answer, token by token.

use ferry_decisions::names::{RequestId, VersionName};
use ferry_platform::engine::ChatMessage;

use crate::digest::message_digest;
use crate::platform::BAD_ANSWER_MARKER;

/// Start of the first token, which goes on with the digest of the request's messages.
pub const DIGEST_PREFIX: &str = "digest=";
/// Start of the second token, which goes on with the version.
pub const VERSION_PREFIX: &str = "version=";
/// Start of the third token, which goes on with the request id.
pub const REQUEST_PREFIX: &str = "request=";
/// Characters of the digest that each later token repeats.
const DIGEST_PART: usize = 4;

/// The `count` tokens of the answer to `messages`; their concatenation is the text.
///
/// Every token but the first starts with a space. A bad answer carries the marker as its fourth token.
pub(super) fn answer_tokens(
    messages: &[ChatMessage],
    version: &VersionName,
    id: &RequestId,
    bad: bool,
    count: u32,
) -> Vec<String> {
    let digest = message_digest(messages);
    let fill = |index: u32| match index {
        0 => format!("{DIGEST_PREFIX}{digest}"),
        1 => format!(" {VERSION_PREFIX}{version}"),
        2 => format!(" {REQUEST_PREFIX}{id}"),
        3 if bad => format!(" {BAD_ANSWER_MARKER}"),
        _ => format!(" {}-{index}", &digest[..DIGEST_PART]),
    };
    (0..count).map(fill).collect()
}
