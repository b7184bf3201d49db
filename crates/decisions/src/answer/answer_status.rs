//! The status in the first line of an answer.

/// Statuses of final answers; those below are of interim answers or of a change of protocol, which no request here asks for.
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;

/// Status of a final answer of HTTP.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AnswerStatus(u16);

/// A status that no final answer has, so that the bytes are no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the status {0:03} is none of a final answer; check the server that sent it")]
pub struct StatusError(pub u16);

impl AnswerStatus {
    /// The status as a number.
    pub fn number(self) -> u16 {
        self.0
    }
}

impl TryFrom<u16> for AnswerStatus {
    type Error = StatusError;

    /// Judges the status of an answer that is about to be taken for final.
    fn try_from(status: u16) -> Result<Self, StatusError> {
        match FINAL_STATUSES.contains(&status) {
            true => Ok(Self(status)),
            false => Err(StatusError(status)),
        }
    }
}
