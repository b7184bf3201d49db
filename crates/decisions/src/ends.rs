//! What the end of an answer's body says of the answer: whether it is whole.

mod answer_end;

pub use answer_end::{AnswerEnd, EndMark, EndPlace, EndVerdict, ProcessSign};
