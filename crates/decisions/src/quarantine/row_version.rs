//! Version of a row of crashes.

use super::CrashRow;

/// Size of a version of a row; rows only grow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RowVersion {
    pub(super) crashed: usize,
    pub(super) survived: usize,
    pub(super) requests: usize,
    pub(super) answers: u32,
    pub(super) is_sound: bool,
}

impl RowVersion {
    /// The version of `row`.
    pub(super) fn of(row: &CrashRow) -> Self {
        Self {
            crashed: row.crashed.len(),
            survived: row.survived.len(),
            requests: row.requests.len(),
            answers: row.answers,
            is_sound: row.is_sound,
        }
    }
}
