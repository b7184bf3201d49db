//! Bills: made durable before the end of an answer is released.

mod bill_desk;

pub use bill_desk::{BillDesk, drain, release};
