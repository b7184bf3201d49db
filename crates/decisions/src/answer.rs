//! What the head of an answer says, whoever sent it.

mod answer_status;

pub use answer_status::{AnswerStatus, StatusError};
